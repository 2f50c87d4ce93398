#pragma once

#include <ctime>

#include "common/time_source.h"

namespace lugfork {

/** Processor time that the calling thread has used. */
class ProcessorClock {
 public:
  virtual ~ProcessorClock() = default;
  virtual Duration used() const = 0;
};

/** ProcessorClock of the operating system: unlike elapsed time it stands still without a share. */
class ThreadProcessorClock : public ProcessorClock {
 public:
  Duration used() const override {
    std::timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Duration>(seconds(time.tv_sec) +
                                                std::chrono::nanoseconds(time.tv_nsec));
  }
};

}  // namespace lugfork
