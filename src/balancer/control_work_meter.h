#pragma once

#include <array>

#include "common/cpu_clock.h"
#include "common/event_log.h"

namespace lugfork {

/** Kinds of work beside the data path that grow with the items read and changed. */
enum class ControlWork : std::uint8_t {
  /** Items are read and noted: a first view, or changes. */
  Items,
  /** The configuration in force is brought up to date. */
  Configuration,
  Last = Configuration,
};

inline constexpr std::size_t kControlWorkCount = static_cast<std::size_t>(ControlWork::Last) + 1;

/** Stable name of a kind, for logs and metrics. */
const char* toString(ControlWork work);

/** What one kind of work has cost. */
struct ControlWorkCost {
  std::uint64_t slices = 0;
  /** Items, or back ends and routes. */
  std::uint64_t units = 0;
  /** Processor time of all slices, and of the longest. */
  Duration processor{};
  Duration longest{};
};

/**
 * Measures slices of control work: while one lasts, packets and readiness wait. A long one is
 * logged, since it is then the cause of what comes late.
 */
class ControlWorkMeter {
 public:
  explicit ControlWorkMeter(EventLog& log) : log_(log) {}

  /** Sets the clock; without one only slices and units are counted. */
  void setClock(const CpuClock& clock) { clock_ = &clock; }

  /** Does one slice of work. @param work returns the units that it consisted of. */
  template <typename Work>
  void measure(ControlWork kind, Work work) {
    const Duration before = used();
    const std::uint64_t units = work();
    note(kind, units, used() - before);
  }

  const ControlWorkCost& cost(ControlWork kind) const {
    return costs_[static_cast<std::size_t>(kind)];
  }

 private:
  Duration used() const { return clock_ == nullptr ? Duration::zero() : clock_->used(); }
  /** Adds one slice to the costs, and logs a long one. */
  void note(ControlWork kind, std::uint64_t units, Duration processor);

  EventLog& log_;
  const CpuClock* clock_ = nullptr;
  std::array<ControlWorkCost, kControlWorkCount> costs_{};
};

}  // namespace lugfork
