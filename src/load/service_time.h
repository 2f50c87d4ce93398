#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "common/time_source.h"

namespace lugfork {

/** Answers of one stretch of time in short: how long they took in the mean, and the short ones. */
struct ResponseTimeSummary {
  double mean_ms = 0;
  /** Time that one answer in twenty falls short of. */
  double p5_ms = 0;
  MonotonicTime ended_at;
};

/**
 * Finds how long answers take where nothing waits in a queue: the mean of the stretch of the last
 * moments with the lowest one, so that requests of uneven work are compared with their like. Once
 * that stretch is older than the memory, the time rises where the short answers have become much
 * longer too: under a standing queue a few requests still meet a free slot.
 */
class ServiceTime {
 public:
  /** @param memory time for which a stretch counts. */
  explicit ServiceTime(Duration retention) : retention_(retention) {}

  void add(double response_ms, MonotonicTime now);

  /** @return the time [ms]; 0 where it is not known. */
  double valueMs(MonotonicTime now) const;

 private:
  /** A quarter of an octave each, from 1 ms to a minute: longer than any caller waits. */
  static constexpr std::size_t kBuckets = 64;

  void closeWindow(MonotonicTime now);
  ResponseTimeSummary summarizeOpenWindow(MonotonicTime now) const;
  double p5Ms() const;
  bool isExpired(const ResponseTimeSummary& window, MonotonicTime now) const;

  Duration retention_;
  /** Whole stretches that count, the oldest first. */
  std::vector<ResponseTimeSummary> windows_;
  /** The lowest stretch, with its mean as the service time. */
  ResponseTimeSummary reference_;
  MonotonicTime opened_at_;
  double sum_ms_ = 0;
  std::uint32_t count_ = 0;
  std::array<std::uint32_t, kBuckets> buckets_{};
};

}  // namespace lugfork
