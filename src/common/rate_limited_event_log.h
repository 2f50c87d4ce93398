#pragma once

#include <map>
#include <string>

#include "common/event_log.h"
#include "common/time_source.h"

namespace lugfork {

/** Limits of a RateLimitedEventLog. */
struct LogLimits {
  /** Lines a second for each event of a component. */
  double lines_per_second = 100;
  /** Lines that a quiet event may write at once. */
  double burst = 200;
};

/**
 * Passes events on within a rate for each event of each component, so that a storm of one neither
 * fills the output nor hides another. Says how many lines of which event were left out with its
 * first one that passes again.
 */
class RateLimitedEventLog : public EventLog {
 public:
  RateLimitedEventLog(EventLog& next, LogLimits limits, const TimeSource& time_source)
      : next_(next), limits_(limits), time_source_(time_source) {}

  void write(LogLevel level, std::string_view component, std::string_view event,
             std::initializer_list<LogField> fields) override;

  bool wouldWrite(LogLevel level, std::string_view component, std::string_view event) override;

  /** Changes the rate of each event, as where the processor is needed for other work. */
  void setLinesPerSecond(double rate) { limits_.lines_per_second = rate; }

  /** @return lines left out since the start. */
  std::uint64_t suppressed() const { return suppressed_; }

 private:
  struct Budget {
    double balance = 0;
    MonotonicTime refilled_at;
    std::uint64_t left_out = 0;
  };
  using BudgetByEvent = std::map<std::string, Budget, std::less<>>;

  Budget& budgetOf(std::string_view component, std::string_view event);
  void refill(Budget& budget) const;
  void leaveOut(Budget& budget);

  EventLog& next_;
  LogLimits limits_;
  const TimeSource& time_source_;
  std::map<std::string, BudgetByEvent, std::less<>> budgets_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace lugfork
