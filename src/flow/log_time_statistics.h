#pragma once

#include "common/time_source.h"

namespace lugfork {

/** Mean and spread of the logarithm of times, of which old samples fade. */
class LogTimeStatistics {
 public:
  /** @param lifetime time after which a sample counts 1/e of a new one. */
  explicit LogTimeStatistics(Duration time_constant = seconds(1)) : time_constant_(time_constant) {}

  /** Takes a sample; one far shorter than the typical one, such as a refusal, is ignored. */
  void add(Duration sample, MonotonicTime now);

  /** @return the samples that count now, as a sum of their weights. */
  double count(MonotonicTime now) const;

  /** @return mean logarithm of the samples [ln ms]; 0 without any. */
  double mean() const;

  /** @return variance of mean(); single samples count as spread by at least a fifth. */
  double varianceOfMean(MonotonicTime now) const;

  /** @return the geometric mean of the samples [ms]. */
  double geometricMeanMs() const;

 private:
  /** @return what is left of the weights since they were last brought up to date. */
  double decay(MonotonicTime now) const;

  Duration time_constant_;
  double count_ = 0;
  double sum_ = 0;
  double sum_of_squares_ = 0;
  MonotonicTime decayed_at_;
};

}  // namespace lugfork
