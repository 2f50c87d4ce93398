#pragma once

#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <thread>

#include "platform/packetd_fixture.h"

namespace lugfork::soak {

/**
 * Stand-in of a small machine: the processes that are slow run for 3 ms in 100 ms, each in turn,
 * and stand still otherwise, as under a quota of 0.03 cores whose period is 100 ms.
 */
class SlowProcessor {
 public:
  SlowProcessor() : thread_([this] { runInTurn(); }) {}
  ~SlowProcessor() {
    ended_ = true;
    thread_.join();
  }
  SlowProcessor(const SlowProcessor&) = delete;
  SlowProcessor& operator=(const SlowProcessor&) = delete;

  /** Also where the process ends and is started again. */
  void slowDown(platform::Packetd& process) {
    const std::lock_guard lock(mutex_);
    slow_.push_back(&process);
  }

  void setFree(platform::Packetd& process) {
    const std::lock_guard lock(mutex_);
    slow_.remove(&process);
    process.signal(SIGCONT);
  }

 private:
  static constexpr std::chrono::milliseconds kRuns{3};
  static constexpr std::chrono::milliseconds kPeriod{100};

  void runInTurn() {
    while (!ended_) {
      const auto next_period = std::chrono::steady_clock::now() + kPeriod;
      for (std::size_t turn = 0; runNext(turn); ++turn) {
      }
      std::this_thread::sleep_until(next_period);
    }
  }

  /** @return whether there is one with that number. */
  bool runNext(std::size_t turn) {
    const std::lock_guard lock(mutex_);
    if (turn >= slow_.size()) {
      return false;
    }
    const platform::Packetd& process =
        **std::next(slow_.begin(), static_cast<std::ptrdiff_t>(turn));
    process.signal(SIGCONT);
    std::this_thread::sleep_for(kRuns);
    process.signal(SIGSTOP);
    return true;
  }

  std::mutex mutex_;
  std::list<platform::Packetd*> slow_;
  std::atomic<bool> ended_ = false;
  std::thread thread_;
};

}  // namespace lugfork::soak
