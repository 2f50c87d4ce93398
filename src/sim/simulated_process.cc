#include "sim/simulated_process.h"

namespace lugfork {

void SimulatedProcess::start() {
  running_ = true;
  paused_ = false;
  ++generation_;
}

void SimulatedProcess::kill() {
  running_ = false;
  paused_ = false;
  ++generation_;
  queued_events_.clear();
}

void SimulatedProcess::resume() {
  paused_ = false;
  std::vector<EventQueue::Event> waiting;
  waiting.swap(queued_events_);
  for (EventQueue::Event& event : waiting) {
    run(std::move(event));
  }
}

void SimulatedProcess::run(EventQueue::Event event) {
  if (!running_) {
    return;
  }
  if (!paused_) {
    event();
  } else if (queued_events_.size() < kMaxQueuedEvents) {
    queued_events_.push_back(std::move(event));
  }
}

void SimulatedProcess::runAfter(Duration delay, EventQueue::Event event) {
  const std::uint64_t generation = generation_;
  queue_.scheduleAfter(delay, [this, generation, event = std::move(event)]() mutable {
    if (generation == generation_) {
      run(std::move(event));
    }
  });
}

}  // namespace lugfork
