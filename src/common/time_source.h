#pragma once

#include <chrono>
#include <cstdint>

namespace lugfork {

/** Resolution of all times in the core. */
using Duration = std::chrono::microseconds;

/** Time of a clock that never goes backwards; only differences are meaningful. */
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Time since the Unix epoch; comparable between machines within the clock skew. */
using SystemTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Source of time for the core; real clocks in the daemon, virtual ones in the simulator. */
class TimeSource {
 public:
  virtual ~TimeSource() = default;

  /** @return the time of the monotonic clock. */
  virtual MonotonicTime monotonicTime() const = 0;

  /** @return the wall-clock time. */
  virtual SystemTime systemTime() const = 0;
};

/** TimeSource over the clocks of the operating system. */
class RealTimeSource : public TimeSource {
 public:
  MonotonicTime monotonicTime() const override {
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  }
  SystemTime systemTime() const override {
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  }
};

/** @return the whole milliseconds of a duration. */
inline std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

/** @return the whole milliseconds of a duration, in the type used in messages. */
inline std::uint32_t toWireMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(toMilliseconds(duration));
}

/** @return the whole milliseconds since the Unix epoch. */
inline std::uint64_t toUnixMilliseconds(SystemTime time) {
  return static_cast<std::uint64_t>(
      toMilliseconds(std::chrono::duration_cast<Duration>(time.time_since_epoch())));
}

}  // namespace lugfork
