#pragma once

#include <algorithm>

#include "common/time_source.h"

namespace lugfork {

/** Token bucket over the bytes that a node sends to its peers. */
class ControlBudget {
 public:
  /** @param bytes_per_second rate of the bucket; it holds two seconds of it. */
  ControlBudget(std::size_t bytes_per_second, const TimeSource& time_source)
      : rate_(static_cast<double>(bytes_per_second)),
        time_source_(time_source),
        available_(rate_),
        filled_at_(time_source.monotonicTime()) {}

  /** Takes bytes; what must be sent may overdraw the budget. */
  void spend(std::size_t bytes) { available_ -= static_cast<double>(bytes); }

  /** @return true if urgent messages must wait as well: the debt has reached its limit. */
  bool isExhausted() {
    static_cast<void>(available());
    return available_ < -kDebtSeconds * rate_;
  }

  /** @return bytes that may be spent now. */
  std::size_t available() {
    const MonotonicTime now = time_source_.monotonicTime();
    const std::chrono::duration<double> passed = now - filled_at_;
    filled_at_ = now;
    available_ = std::min(available_ + rate_ * passed.count(), kBurstSeconds * rate_);
    return available_ <= 0 ? 0 : static_cast<std::size_t>(available_);
  }

 private:
  static constexpr double kBurstSeconds = 2;
  /** Debt that urgent messages may run up, in seconds of the rate. */
  static constexpr double kDebtSeconds = 2;

  const double rate_;
  const TimeSource& time_source_;
  double available_;
  MonotonicTime filled_at_;
};

}  // namespace lugfork
