#include "load/service_time.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Windows per retention time: one of them has to lie between two bursts of requests. */
constexpr int kWindowsPerRetention = 10;
/**
 * Minimum number of responses in a window. With work that varies by half, the error of the mean is
 * a tenth then.
 */
constexpr std::uint32_t kMinWindowResponses = 32;
constexpr double kBucketsPerOctave = 4;
constexpr double kLowQuantile = 0.05;
/**
 * Growth ratio of the shortest response times from which the work is assumed to have changed; a
 * standing queue causes less.
 */
constexpr double kMinWorkGrowthRatio = 2;

}  // namespace

void ServiceTime::add(double response_ms, MonotonicTime now) {
  if (count_ == 0) {
    opened_at_ = now;
  }
  const double bucket = std::log2(std::max(response_ms, 1.0)) * kBucketsPerOctave;
  ++buckets_[std::min(static_cast<std::size_t>(bucket), kBuckets - 1)];
  sum_ms_ += response_ms;
  ++count_;
  if (count_ >= kMinWindowResponses && now - opened_at_ >= retention_ / kWindowsPerRetention) {
    closeWindow(now);
  }
}

double ServiceTime::valueMs(MonotonicTime now) const {
  const double open_ms =
      count_ >= kMinWindowResponses ? summarizeOpenWindow(now).mean_ms : reference_.mean_ms;
  return reference_.mean_ms > 0 ? std::min(reference_.mean_ms, open_ms) : open_ms;
}

void ServiceTime::closeWindow(MonotonicTime now) {
  const ResponseTimeSummary closed = summarizeOpenWindow(now);
  sum_ms_ = 0;
  count_ = 0;
  buckets_ = {};
  std::erase_if(windows_,
                [&](const ResponseTimeSummary& summary) { return isExpired(summary, now); });
  windows_.push_back(closed);
  if (reference_.mean_ms <= 0 || closed.mean_ms <= reference_.mean_ms) {
    reference_ = closed;
    return;
  }
  if (!isExpired(reference_, now)) {
    return;
  }
  const ResponseTimeSummary& lowest =
      *std::min_element(windows_.begin(), windows_.end(),
                        [](const ResponseTimeSummary& a, const ResponseTimeSummary& b) {
                          return a.mean_ms < b.mean_ms;
                        });
  const double growth = lowest.p5_ms / reference_.p5_ms;
  if (growth >= kMinWorkGrowthRatio) {
    reference_ = {std::min(reference_.mean_ms * growth, lowest.mean_ms), lowest.p5_ms,
                  lowest.ended_at};
  }
}

bool ServiceTime::isExpired(const ResponseTimeSummary& window, MonotonicTime now) const {
  // A window that began within the retention time may end up to its own length later.
  return now - window.ended_at > retention_ + retention_ / kWindowsPerRetention;
}

ResponseTimeSummary ServiceTime::summarizeOpenWindow(MonotonicTime now) const {
  return {sum_ms_ / count_, p5Ms(), now};
}

double ServiceTime::p5Ms() const {
  const double target_count = kLowQuantile * count_;
  double cumulative_count = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && cumulative_count + buckets_[bucket] < target_count) {
    cumulative_count += buckets_[bucket];
    ++bucket;
  }
  const double bucket_fraction =
      buckets_[bucket] > 0 ? (target_count - cumulative_count) / buckets_[bucket] : 0;
  return std::exp2((static_cast<double>(bucket) + std::min(bucket_fraction, 1.0)) /
                   kBucketsPerOctave);
}

}  // namespace lugfork
