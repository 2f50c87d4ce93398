#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "common/time_source.h"

namespace lugfork {

/** Summary of the responses of one window: their mean time and the time of the short ones. */
struct ResponseTimeSummary {
  double mean_ms = 0;
  /** 5th percentile of the response times. */
  double p5_ms = 0;
  MonotonicTime ended_at;
};

/**
 * Estimates the response time without queueing: the mean of the recent window with the lowest mean.
 * Whole windows are compared so that requests of uneven work average out. Once that window is older
 * than the retention time, the estimate rises only if the short responses have become much longer
 * too: under a standing queue a few requests still find a free slot.
 */
class ServiceTime {
 public:
  /** @param retention time for which a window counts. */
  explicit ServiceTime(Duration retention) : retention_(retention) {}

  void add(double response_ms, MonotonicTime now);

  /** @return the service time [ms]; 0 if unknown. */
  double valueMs(MonotonicTime now) const;

 private:
  /** A quarter of an octave each, from 1 ms to a minute: longer than any client waits. */
  static constexpr std::size_t kBuckets = 64;

  void closeWindow(MonotonicTime now);
  ResponseTimeSummary summarizeOpenWindow(MonotonicTime now) const;
  double p5Ms() const;
  bool isExpired(const ResponseTimeSummary& window, MonotonicTime now) const;

  Duration retention_;
  /** Complete windows that still count, oldest first. */
  std::vector<ResponseTimeSummary> windows_;
  /** The window with the lowest mean, which is the service time. */
  ResponseTimeSummary reference_;
  MonotonicTime opened_at_;
  double sum_ms_ = 0;
  std::uint32_t count_ = 0;
  std::array<std::uint32_t, kBuckets> buckets_{};
};

}  // namespace lugfork
