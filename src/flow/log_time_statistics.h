#pragma once

#include "common/time_source.h"

namespace lugfork {

/** Mean and variance of the logarithms of durations, with exponentially decaying weights. */
class LogTimeStatistics {
 public:
  /** @param time_constant age at which the weight of a sample has decayed to 1/e. */
  explicit LogTimeStatistics(Duration time_constant = seconds(1)) : time_constant_(time_constant) {}

  /**
   * Adds a sample. Ignores samples far below the geometric mean, such as the times of rejections.
   */
  void add(Duration sample, MonotonicTime now);

  /** @return the current sum of the weights of all samples. */
  double count(MonotonicTime now) const;

  /** @return mean of the logarithms of the samples [ln ms]; 0 without samples. */
  double mean() const;

  /**
   * @return variance of mean(). The standard deviation of single samples counts as at least 0.2.
   */
  double varianceOfMean(MonotonicTime now) const;

  /** @return the geometric mean of the samples [ms]. */
  double geometricMeanMs() const;

 private:
  /** @return the factor by which the weights have decayed since decayed_at_. */
  double decay(MonotonicTime now) const;

  Duration time_constant_;
  double count_ = 0;
  double sum_ = 0;
  double sum_of_squares_ = 0;
  MonotonicTime decayed_at_;
};

}  // namespace lugfork
