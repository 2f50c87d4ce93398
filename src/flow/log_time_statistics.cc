#include "flow/log_time_statistics.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Lower bound of samples [ms], since the logarithm of zero is undefined. */
constexpr double kMinSampleMs = 0.1;
/**
 * Samples below the geometric mean divided by this are ignored: a backend with a full queue rejects
 * within a millisecond, and must not count as fast for that.
 */
constexpr double kMaxShortfallRatio = 6;
/**
 * Number of samples from which the geometric mean is used as a filter; below it every sample
 * counts.
 */
constexpr double kMinSamplesToFilter = 4;
/**
 * Minimum standard deviation of single samples [ln ms]: requests of one kind differ by at least a
 * fifth, and a few samples that are equal by chance must not count as certainty.
 */
constexpr double kMinSpread = 0.2;

}  // namespace

double LogTimeStatistics::decay(MonotonicTime now) const {
  const std::chrono::duration<double> age = now - decayed_at_;
  return std::exp(-age / std::chrono::duration<double>(time_constant_));
}

void LogTimeStatistics::add(Duration sample, MonotonicTime now) {
  const double sample_ms = std::chrono::duration<double, std::milli>(sample).count();
  if (count(now) >= kMinSamplesToFilter && sample_ms * kMaxShortfallRatio < geometricMeanMs()) {
    return;
  }
  const double decay_factor = decay(now);
  const double sample_ln = std::log(std::max(sample_ms, kMinSampleMs));
  count_ = count_ * decay_factor + 1;
  sum_ = sum_ * decay_factor + sample_ln;
  sum_of_squares_ = sum_of_squares_ * decay_factor + sample_ln * sample_ln;
  decayed_at_ = now;
}

double LogTimeStatistics::count(MonotonicTime now) const {
  return count_ * decay(now);
}

double LogTimeStatistics::mean() const {
  return count_ > 0 ? sum_ / count_ : 0;
}

double LogTimeStatistics::varianceOfMean(MonotonicTime now) const {
  const double min_variance = kMinSpread * kMinSpread;
  if (count_ <= 0) {
    return min_variance;
  }
  const double variance = sum_of_squares_ / count_ - mean() * mean();
  return std::max(variance, min_variance) / std::max(count(now), 1e-9);
}

double LogTimeStatistics::geometricMeanMs() const {
  return count_ > 0 ? std::exp(mean()) : 0;
}

}  // namespace lugfork
