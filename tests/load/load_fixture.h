#pragma once

#include <algorithm>
#include <array>
#include <queue>
#include <vector>

#include "common/random_generator.h"
#include "common/time_source.h"

/** Shared parts of the load tests: a clock, and a backend with slots and a queue. */
namespace lugfork {

struct LoadClock : TimeSource {
  Duration elapsed = seconds(1000);
  MonotonicTime monotonicTime() const override { return MonotonicTime(elapsed); }
  SystemTime systemTime() const override { return SystemTime(elapsed); }
};

/** Backend with two slots and a queue of eight. */
class QueueingBackend {
 public:
  static constexpr std::size_t kMaxRequests = 10;

  bool isFull(MonotonicTime now) {
    removeFinished(now);
    return completion_times_.size() >= kMaxRequests;
  }

  /** @return when the request is completed. */
  MonotonicTime serve(MonotonicTime now, Duration work) {
    auto& slot = *std::min_element(slots_free_at_.begin(), slots_free_at_.end());
    slot = std::max(slot, now) + work;
    completion_times_.push(slot);
    return slot;
  }

  std::size_t requestCount(MonotonicTime now) {
    removeFinished(now);
    return completion_times_.size();
  }

 private:
  void removeFinished(MonotonicTime now) {
    while (!completion_times_.empty() && completion_times_.top() <= now) {
      completion_times_.pop();
    }
  }

  std::array<MonotonicTime, 2> slots_free_at_{};
  std::priority_queue<MonotonicTime, std::vector<MonotonicTime>, std::greater<>> completion_times_;
};

}  // namespace lugfork
