#pragma once

#include <algorithm>
#include <array>
#include <queue>
#include <vector>

#include "common/random_generator.h"
#include "common/time_source.h"

/** Parts that the tests of load share: a clock and a server with slots and a queue. */
namespace lugfork {

struct LoadClock : TimeSource {
  Duration elapsed = seconds(1000);
  MonotonicTime monotonicTime() const override { return MonotonicTime(elapsed); }
  SystemTime systemTime() const override { return SystemTime(elapsed); }
};

/** Server with two slots and a queue of eight. */
class SlotServer {
 public:
  static constexpr std::size_t kPresent = 10;

  bool isFull(MonotonicTime now) {
    leave(now);
    return ends_.size() >= kPresent;
  }

  /** @return when the request is answered. */
  MonotonicTime serve(MonotonicTime now, Duration work) {
    auto& slot = *std::min_element(free_at_.begin(), free_at_.end());
    slot = std::max(slot, now) + work;
    ends_.push(slot);
    return slot;
  }

  std::size_t present(MonotonicTime now) {
    leave(now);
    return ends_.size();
  }

 private:
  void leave(MonotonicTime now) {
    while (!ends_.empty() && ends_.top() <= now) {
      ends_.pop();
    }
  }

  std::array<MonotonicTime, 2> free_at_{};
  std::priority_queue<MonotonicTime, std::vector<MonotonicTime>, std::greater<>> ends_;
};

}  // namespace lugfork
