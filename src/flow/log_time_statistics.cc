#include "flow/log_time_statistics.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Shorter times count as this [ms], since zero has no logarithm. */
constexpr double kShortestMs = 0.1;
/**
 * A sample shorter than the typical one over this is left out: a server whose queue is full refuses
 * in a millisecond, and must not count as fast for that.
 */
constexpr double kShortestOfTypical = 6;
/** Samples from which the typical one is known; below it every sample counts. */
constexpr double kSamplesOfTypical = 4;
/**
 * Smallest spread of single times [ln ms]: work of one kind differs by a fifth at least, and a few
 * samples that are equal by chance must not pass for certainty.
 */
constexpr double kSmallestSpread = 0.2;

}  // namespace

double LogTimeStatistics::fade(MonotonicTime now) const {
  const std::chrono::duration<double> age = now - faded_at_;
  return std::exp(-age / std::chrono::duration<double>(lifetime_));
}

void LogTimeStatistics::add(Duration sample, MonotonicTime now) {
  const double sample_ms = std::chrono::duration<double, std::milli>(sample).count();
  if (count(now) >= kSamplesOfTypical && sample_ms * kShortestOfTypical < typicalMs()) {
    return;
  }
  const double kept = fade(now);
  const double logarithm = std::log(std::max(sample_ms, kShortestMs));
  count_ = count_ * kept + 1;
  sum_ = sum_ * kept + logarithm;
  sum_of_squares_ = sum_of_squares_ * kept + logarithm * logarithm;
  faded_at_ = now;
}

double LogTimeStatistics::count(MonotonicTime now) const {
  return count_ * fade(now);
}

double LogTimeStatistics::mean() const {
  return count_ > 0 ? sum_ / count_ : 0;
}

double LogTimeStatistics::varianceOfMean(MonotonicTime now) const {
  const double smallest = kSmallestSpread * kSmallestSpread;
  if (count_ <= 0) {
    return smallest;
  }
  const double variance = sum_of_squares_ / count_ - mean() * mean();
  return std::max(variance, smallest) / std::max(count(now), 1e-9);
}

double LogTimeStatistics::typicalMs() const {
  return count_ > 0 ? std::exp(mean()) : 0;
}

}  // namespace lugfork
