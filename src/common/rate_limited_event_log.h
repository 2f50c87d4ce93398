#pragma once

#include <map>
#include <string>

#include "common/event_log.h"
#include "common/time_source.h"

namespace lugfork {

/** Limits of a RateLimitedEventLog for each event of a component. */
struct LogLimits {
  /** Sustained rate [lines/s]. */
  double lines_per_second = 100;
  /** Number of lines that an event may write at once after a quiet period. */
  double burst = 200;
};

/**
 * Event log with a token bucket for each event of each component, so that a burst of one event
 * neither floods the output nor suppresses other events. Before the first line that passes after a
 * suppression, it reports how many lines of the event were suppressed.
 */
class RateLimitedEventLog : public EventLog {
 public:
  RateLimitedEventLog(EventLog& next, LogLimits limits, const TimeSource& time_source)
      : next_(next), limits_(limits), time_source_(time_source) {}

  void write(LogLevel level, std::string_view component, std::string_view event,
             std::initializer_list<LogField> fields) override;

  bool wouldWrite(LogLevel level, std::string_view component, std::string_view event) override;

  /** Changes the sustained rate [lines/s], for example to leave CPU time to other work. */
  void setLinesPerSecond(double rate) { limits_.lines_per_second = rate; }

  /** @return number of lines suppressed since the start. */
  std::uint64_t suppressed() const { return suppressed_; }

 private:
  struct TokenBucket {
    double tokens = 0;
    MonotonicTime refilled_at;
    std::uint64_t suppressed = 0;
  };
  using BucketByEvent = std::map<std::string, TokenBucket, std::less<>>;

  TokenBucket& bucketOf(std::string_view component, std::string_view event);
  void refill(TokenBucket& bucket) const;
  void countSuppressed(TokenBucket& bucket);

  EventLog& next_;
  LogLimits limits_;
  const TimeSource& time_source_;
  std::map<std::string, BucketByEvent, std::less<>> buckets_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace lugfork
