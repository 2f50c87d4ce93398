#pragma once

#include <algorithm>

#include "common/time_source.h"

namespace lugfork {

/** Settings of a RetryBudget. */
struct RetryBudgetSettings {
  /** Retries that each first attempt adds to the budget. */
  double retries_per_attempt = 0.2;
  /** Retries per second that are allowed without any first attempt. */
  double min_retries_per_second = 2;
  /** Maximum number of retries that can be accumulated. */
  double capacity = 50;
};

/**
 * Token bucket that limits retries to a fraction of the first attempts plus a low constant rate, so
 * that retries cannot multiply the load of a service that rejects many flows.
 */
class RetryBudget {
 public:
  RetryBudget(RetryBudgetSettings settings, const TimeSource& time_source)
      : settings_(settings),
        time_source_(time_source),
        tokens_(settings.capacity),
        refilled_at_(time_source.monotonicTime()) {}

  /** Counts a first attempt. */
  void onFirstAttempt() { add(settings_.retries_per_attempt); }

  /**
   * Takes a retry from the budget.
   * @return true if a retry is allowed now.
   */
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
