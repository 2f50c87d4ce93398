#pragma once

#include <string>

#include "sim/event_queue.h"

namespace lugfork {

/** TimeSource of one simulated process: the virtual clock plus the machine's clock skew. */
class ProcessTimeSource : public TimeSource {
 public:
  ProcessTimeSource(const EventQueue& queue, Duration skew) : queue_(queue), skew_(skew) {}

  MonotonicTime monotonicTime() const override { return queue_.now(); }
  SystemTime systemTime() const override {
    return SystemTime(kEpoch + queue_.now().time_since_epoch() + skew_);
  }

 private:
  /** Wall-clock time at virtual time zero; an arbitrary fixed date. */
  static constexpr Duration kEpoch = std::chrono::hours(24 * 365 * 50);

  const EventQueue& queue_;
  const Duration skew_;
};

/**
 * A process that can be killed, restarted, paused and resumed. Events for a killed process are
 * lost; events for a paused one are queued, as in a socket's buffer.
 */
class SimulatedProcess {
 public:
  SimulatedProcess(EventQueue& queue, std::string name, std::string zone, Duration clock_skew)
      : queue_(queue),
        name_(std::move(name)),
        zone_(std::move(zone)),
        time_source_(queue, clock_skew) {}

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const TimeSource& timeSource() const { return time_source_; }
  bool isRunning() const { return running_; }
  bool isPaused() const { return paused_; }

  /** @return the number of this incarnation; increases with each start. */
  std::uint64_t generation() const { return generation_; }

  void start();
  void kill();
  void pause() { paused_ = true; }
  void resume();

  /** Runs the event now, or on resume if paused; discards it if the process isn't running. */
  void run(EventQueue::Event event);

  /** Like run, after a delay and only in this incarnation of the process. */
  void runAfter(Duration delay, EventQueue::Event event);

 private:
  /** Events queued for a paused process; further ones are dropped, as by a socket's buffer. */
  static constexpr std::size_t kMaxQueuedEvents = 10000;

  EventQueue& queue_;
  const std::string name_;
  const std::string zone_;
  const ProcessTimeSource time_source_;
  bool running_ = false;
  bool paused_ = false;
  std::uint64_t generation_ = 0;
  std::vector<EventQueue::Event> queued_events_;
};

}  // namespace lugfork
