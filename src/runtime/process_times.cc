#include "runtime/process_times.h"

#include <sys/resource.h>
#include <unistd.h>

#include <ctime>
#include <fstream>
#include <limits>

namespace lugfork {

namespace {

Duration toDuration(const timeval& time) {
  return seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

}  // namespace

Duration cpuTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

Duration timeSinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<Duration>(seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

std::optional<Duration> processStartedAt() {
  // The process name, in parentheses, may contain spaces; 19 fields precede the start time after
  // it.
  constexpr int kFieldsBefore = 19;
  constexpr auto kAll = std::numeric_limits<std::streamsize>::max();
  std::ifstream stat("/proc/self/stat");
  stat.ignore(kAll, ')');
  std::string skipped;
  for (int field = 0; field < kFieldsBefore; ++field) {
    stat >> skipped;
  }
  std::int64_t ticks = 0;
  if (!(stat >> ticks)) {
    return std::nullopt;
  }
  return Duration(ticks * (Duration::period::den / sysconf(_SC_CLK_TCK)));
}

}  // namespace lugfork
