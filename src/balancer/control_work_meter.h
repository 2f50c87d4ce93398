#pragma once

#include <array>

#include "common/cpu_clock.h"
#include "common/event_log.h"

namespace lugfork {

/** Kinds of work outside the data path whose cost grows with the items that are read or changed. */
enum class ControlWork : std::uint8_t {
  /** Decoding and registering items: a first view, or changes. */
  Items,
  /** Updating the configuration in force. */
  Configuration,
  Last = Configuration,
};

inline constexpr std::size_t kControlWorkCount = static_cast<std::size_t>(ControlWork::Last) + 1;

/** Stable name of a kind, for logs and metrics. */
const char* toString(ControlWork work);

/** Accumulated cost of one kind of work. */
struct ControlWorkCost {
  std::uint64_t slices = 0;
  /** Items, or backends and routes. */
  std::uint64_t units = 0;
  /** CPU time of all slices, and of the longest one. */
  Duration cpu_time{};
  Duration max_slice{};
};

/**
 * Measures slices of control work. During a slice neither packets nor readiness checks are handled,
 * so a long one is logged as a possible cause of delays.
 */
class ControlWorkMeter {
 public:
  explicit ControlWorkMeter(EventLog& log) : log_(log) {}

  /** Sets the clock; without one only slices and units are counted. */
  void setClock(const CpuClock& clock) { clock_ = &clock; }

  /**
   * Runs and measures one slice of work.
   * @param work returns the number of units that it processed.
   */
  template <typename Work>
  void measure(ControlWork kind, Work work) {
    const Duration before = cpuTimeUsed();
    const std::uint64_t units = work();
    record(kind, units, cpuTimeUsed() - before);
  }

  const ControlWorkCost& cost(ControlWork kind) const {
    return costs_[static_cast<std::size_t>(kind)];
  }

 private:
  Duration cpuTimeUsed() const { return clock_ == nullptr ? Duration::zero() : clock_->used(); }
  /** Adds one slice to the costs, and logs it if it was long. */
  void record(ControlWork kind, std::uint64_t units, Duration cpu_time);

  EventLog& log_;
  const CpuClock* clock_ = nullptr;
  std::array<ControlWorkCost, kControlWorkCount> costs_{};
};

}  // namespace lugfork
