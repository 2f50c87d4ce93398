#pragma once

#include <sys/resource.h>

#include "common/time_source.h"

namespace lugfork {

/** Processor time that the calling thread has used. */
class CpuClock {
 public:
  virtual ~CpuClock() = default;
  virtual Duration used() const = 0;
};

/**
 * CpuClock of the operating system: unlike elapsed time it stands still without a share. By
 * getrusage(), since a machine whose clocks are replaced by others answers clock_gettime() wrongly.
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
