#pragma once

#include <algorithm>

#include "common/time_source.h"

namespace lugfork {

/** Token bucket that limits the bytes a node sends to its peers. */
class ControlBudget {
 public:
  /** @param bytes_per_second fill rate; the bucket's capacity is kBurstSeconds of it. */
  ControlBudget(std::size_t bytes_per_second, const TimeSource& time_source)
      : rate_(static_cast<double>(bytes_per_second)),
        time_source_(time_source),
        available_(rate_),
        filled_at_(time_source.monotonicTime()) {}

  /** Consumes bytes; messages that must be sent may overdraw the budget. */
  void spend(std::size_t bytes) { available_ -= static_cast<double>(bytes); }

  /** @return true if the debt exceeds its limit, so that urgent messages must wait as well. */
  bool isExhausted() {
    static_cast<void>(available());
    return available_ < -kDebtSeconds * rate_;
  }

  /** @return number of bytes that may be sent now. */
  std::size_t available() {
    const MonotonicTime now = time_source_.monotonicTime();
    const std::chrono::duration<double> passed = now - filled_at_;
    filled_at_ = now;
    available_ = std::min(available_ + rate_ * passed.count(), kBurstSeconds * rate_);
    return available_ <= 0 ? 0 : static_cast<std::size_t>(available_);
  }

 private:
  /** Capacity of the bucket, in seconds of the rate. */
  static constexpr double kBurstSeconds = 2;
  /** Maximum debt by urgent messages, in seconds of the rate. */
  static constexpr double kDebtSeconds = 2;

  const double rate_;
  const TimeSource& time_source_;
  double available_;
  MonotonicTime filled_at_;
};

}  // namespace lugfork
