#pragma once

#include <algorithm>

#include "common/time_source.h"

namespace lugfork {

/** Tunables of a retry budget. */
struct RetryBudgetSettings {
  /** Retries that each first try allows for. */
  double retries_per_attempt = 0.2;
  /** Retries a second that are allowed for without any first try. */
  double min_retries_per_second = 2;
  /** Most retries that may be saved up. */
  double capacity = 50;
};

/**
 * Token bucket that limits retries to a share of first tries plus a small floor, so that retries
 * can't multiply the load of a service that refuses much.
 */
class RetryBudget {
 public:
  RetryBudget(RetryBudgetSettings settings, const TimeSource& time_source)
      : settings_(settings),
        time_source_(time_source),
        tokens_(settings.capacity),
        refilled_at_(time_source.monotonicTime()) {}

  /** Notes a first try. */
  void onFirstAttempt() { add(settings_.retries_per_attempt); }

  /** @return true if a retry may be made now; it is taken from the budget. */
  bool tryTake() {
    refill();
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  void add(double amount) { tokens_ = std::min(settings_.capacity, tokens_ + amount); }

  void refill() {
    const MonotonicTime now = time_source_.monotonicTime();
    add(std::chrono::duration<double>(now - refilled_at_).count() *
        settings_.min_retries_per_second);
    refilled_at_ = now;
  }

  const RetryBudgetSettings settings_;
  const TimeSource& time_source_;
  double tokens_;
  MonotonicTime refilled_at_;
};

}  // namespace lugfork
