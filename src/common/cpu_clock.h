#pragma once

#include <sys/resource.h>

#include "common/time_source.h"

namespace lugfork {

/** Clock of the CPU time used by the calling thread. */
class CpuClock {
 public:
  virtual ~CpuClock() = default;
  virtual Duration used() const = 0;
};

/**
 * CpuClock of the operating system. Unlike elapsed time, it doesn't advance while the thread is not
 * scheduled. Uses getrusage(), since clock_gettime() gives wrong results on machines whose clocks
 * are replaced.
 */
class ThreadCpuClock : public CpuClock {
 public:
  Duration used() const override {
    rusage usage{};
    ::getrusage(RUSAGE_THREAD, &usage);
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
  }

 private:
  static Duration toDuration(const timeval& time) {
    return seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
  }
};

}  // namespace lugfork
