#pragma once

#include "common/time_source.h"

namespace lugfork {

/** Mean and spread of the logarithm of times, of which old samples fade. */
class LogTimeStatistics {
 public:
  /** @param lifetime time after which a sample counts 1/e of a new one. */
  explicit LogTimeStatistics(Duration lifetime = seconds(1)) : lifetime_(lifetime) {}

  void add(Duration sample, MonotonicTime now);

  /** @return the samples that count now, as a sum of their weights. */
  double count(MonotonicTime now) const;

  /** @return mean logarithm of the samples [ln ms]; 0 without any. */
  double mean() const;

  /** @return variance of mean(); a few samples count as spread at least by kSmallestSpread. */
  double varianceOfMean(MonotonicTime now) const;

  /** @return the geometric mean of the samples [ms]. */
  double typicalMs() const;

 private:
  double fade(MonotonicTime now) const;

  Duration lifetime_;
  double count_ = 0;
  double sum_ = 0;
  double sum_of_squares_ = 0;
  MonotonicTime faded_at_;
};

}  // namespace lugfork
