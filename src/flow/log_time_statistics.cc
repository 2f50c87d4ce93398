#include "flow/log_time_statistics.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Shorter times count as this [ms], since zero has no logarithm. */
constexpr double kMinSampleMs = 0.1;
/**
 * A sample shorter than the typical one over this is left out: a server whose queue is full refuses
 * in a millisecond, and must not count as fast for that.
 */
constexpr double kMaxShortfallRatio = 6;
/** Samples from which the typical one is known; below it every sample counts. */
constexpr double kMinSamplesToFilter = 4;
/**
 * Smallest spread of single times [ln ms]: work of one kind differs by a fifth at least, and a few
 * samples that are equal by chance must not pass for certainty.
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
