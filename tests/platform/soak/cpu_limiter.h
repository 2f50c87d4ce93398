#pragma once

#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <thread>

#include "platform/packetd_fixture.h"

namespace lugfork::soak {

/**
 * Emulates a CPU quota of 0.03 cores with a period of 100 ms: each limited process in turn runs
 * for 3 ms per period and is stopped for the rest of it.
 */
class CpuLimiter {
 public:
  CpuLimiter() : thread_([this] { runInTurn(); }) {}
  ~CpuLimiter() {
    ended_ = true;
    thread_.join();
  }
  CpuLimiter(const CpuLimiter&) = delete;
  CpuLimiter& operator=(const CpuLimiter&) = delete;

  /** The limit also holds after a restart of the process. */
  void limitCpu(platform::Packetd& process) {
    const std::lock_guard lock(mutex_);
    limited_.push_back(&process);
  }

  void removeLimit(platform::Packetd& process) {
    const std::lock_guard lock(mutex_);
    limited_.remove(&process);
    process.signal(SIGCONT);
  }

 private:
  static constexpr std::chrono::milliseconds kRunTime{3};
  static constexpr std::chrono::milliseconds kPeriod{100};

  void runInTurn() {
    while (!ended_) {
      const auto next_period = std::chrono::steady_clock::now() + kPeriod;
      for (std::size_t turn = 0; runNext(turn); ++turn) {
      }
      std::this_thread::sleep_until(next_period);
    }
  }

  /** @return false if there is no limited process with that index. */
  bool runNext(std::size_t turn) {
    const std::lock_guard lock(mutex_);
    if (turn >= limited_.size()) {
      return false;
    }
    const platform::Packetd& process =
        **std::next(limited_.begin(), static_cast<std::ptrdiff_t>(turn));
    process.signal(SIGCONT);
    std::this_thread::sleep_for(kRunTime);
    process.signal(SIGSTOP);
    return true;
  }

  std::mutex mutex_;
  std::list<platform::Packetd*> limited_;
  std::atomic<bool> ended_ = false;
  std::thread thread_;
};

}  // namespace lugfork::soak
