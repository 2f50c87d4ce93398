#pragma once

#include <functional>
#include <map>

#include "platform/soak/promise_monitor.h"

namespace lugfork::soak {

/** Runs functions at scheduled times, on the thread that runs the soak. */
class CallSchedule {
 public:
  void at(SoakTime time, std::function<void()> function) {
    calls_.emplace(time, std::move(function));
  }
  void after(std::chrono::milliseconds delay, std::function<void()> function) {
    at(SoakClock::now() + delay, std::move(function));
  }

  /** Runs the functions that are due. */
  void runDue(SoakTime now) {
    while (!calls_.empty() && calls_.begin()->first <= now) {
      const auto function = std::move(calls_.begin()->second);
      calls_.erase(calls_.begin());
      function();
    }
  }

 private:
  std::multimap<SoakTime, std::function<void()>> calls_;
};

}  // namespace lugfork::soak
