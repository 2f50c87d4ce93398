#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "common/time_source.h"

namespace lugfork {

/** Virtual clock with scheduled events. Events at the same time run in scheduling order. */
class EventQueue {
 public:
  using Event = std::function<void()>;

  MonotonicTime now() const { return now_; }

  /** Schedules an event; an event in the past runs at the current time. */
  void schedule(MonotonicTime at, Event event);
  void scheduleAfter(Duration delay, Event event) { schedule(now_ + delay, std::move(event)); }

  /** Calls a function at a fixed interval until it returns false. */
  void repeat(Duration interval, std::function<bool()> function);

  /** Runs all events up to and including the given time. */
  void runUntil(MonotonicTime end);
  void runFor(Duration duration) { runUntil(now_ + duration); }

  /** @return the number of events that have run. */
  std::uint64_t executed() const { return executed_; }

 private:
  struct Entry {
    MonotonicTime at;
    std::uint64_t sequence;
    Event event;
  };
  struct RunsLater {
    bool operator()(const Entry& left, const Entry& right) const {
      return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
    }
  };

  // The virtual clock starts at a positive time, because zero stands for "never".
  MonotonicTime now_{seconds(1000)};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t executed_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, RunsLater> entries_;
};

}  // namespace lugfork
