#include "sim/event_queue.h"

#include <algorithm>

namespace lugfork {

void EventQueue::schedule(MonotonicTime at, Event event) {
  entries_.push({std::max(at, now_), next_sequence_++, std::move(event)});
}

void EventQueue::repeat(Duration interval, std::function<bool()> function) {
  scheduleAfter(interval, [this, interval, function = std::move(function)]() mutable {
    if (function()) {
      repeat(interval, std::move(function));
    }
  });
}

void EventQueue::runUntil(MonotonicTime end) {
  while (!entries_.empty() && entries_.top().at <= end) {
    // std::priority_queue has no mutable access to its top; the entry is removed right after.
    Entry entry = std::move(const_cast<Entry&>(entries_.top()));
    entries_.pop();
    now_ = entry.at;
    ++executed_;
    entry.event();
  }
  now_ = end;
}

}  // namespace lugfork
