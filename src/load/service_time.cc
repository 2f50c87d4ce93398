#include "load/service_time.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Stretches that the memory is divided into: one must lie between two bursts of callers. */
constexpr int kStretches = 10;
/** Answers that a stretch needs: the mean of work that differs by half is right to a tenth then. */
constexpr std::uint32_t kAnswersOfStretch = 32;
constexpr double kBucketsOfOctave = 4;
constexpr double kLowShare = 0.05;
/** Growth of the short answers from which work has changed: less comes from a standing queue. */
constexpr double kChangedFrom = 2;

}  // namespace

void ServiceTime::add(double answer_ms, MonotonicTime now) {
  if (count_ == 0) {
    opened_at_ = now;
  }
  const double bucket = std::log2(std::max(answer_ms, 1.0)) * kBucketsOfOctave;
  ++buckets_[std::min(static_cast<std::size_t>(bucket), kBuckets - 1)];
  sum_ms_ += answer_ms;
  ++count_;
  if (count_ >= kAnswersOfStretch && now - opened_at_ >= memory_ / kStretches) {
    closeStretch(now);
  }
}

double ServiceTime::valueMs(MonotonicTime now) const {
  const double open_ms =
      count_ >= kAnswersOfStretch ? openStretch(now).mean_ms : reference_.mean_ms;
  return reference_.mean_ms > 0 ? std::min(reference_.mean_ms, open_ms) : open_ms;
}

void ServiceTime::closeStretch(MonotonicTime now) {
  const AnswerTimes closed = openStretch(now);
  sum_ms_ = 0;
  count_ = 0;
  buckets_ = {};
  std::erase_if(stretches_, [&](const AnswerTimes& old) { return isForgotten(old, now); });
  stretches_.push_back(closed);
  if (reference_.mean_ms <= 0 || closed.mean_ms <= reference_.mean_ms) {
    reference_ = closed;
    return;
  }
  if (!isForgotten(reference_, now)) {
    return;
  }
  const AnswerTimes& lowest = *std::min_element(
      stretches_.begin(), stretches_.end(),
      [](const AnswerTimes& a, const AnswerTimes& b) { return a.mean_ms < b.mean_ms; });
  const double growth = lowest.low_ms / reference_.low_ms;
  if (growth >= kChangedFrom) {
    reference_ = {std::min(reference_.mean_ms * growth, lowest.mean_ms), lowest.low_ms,
                  lowest.ended_at};
  }
}

bool ServiceTime::isForgotten(const AnswerTimes& stretch, MonotonicTime now) const {
  // A stretch that began within the memory has ended up to its own length later.
  return now - stretch.ended_at > memory_ + memory_ / kStretches;
}

AnswerTimes ServiceTime::openStretch(MonotonicTime now) const {
  return {sum_ms_ / count_, lowMs(), now};
}

double ServiceTime::lowMs() const {
  const double wanted = kLowShare * count_;
  double passed = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && passed + buckets_[bucket] < wanted) {
    passed += buckets_[bucket];
    ++bucket;
  }
  const double part = buckets_[bucket] > 0 ? (wanted - passed) / buckets_[bucket] : 0;
  return std::exp2((static_cast<double>(bucket) + std::min(part, 1.0)) / kBucketsOfOctave);
}

}  // namespace lugfork
