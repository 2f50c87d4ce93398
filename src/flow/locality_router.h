#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "common/event_log.h"
#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"
#include "flow/log_time_statistics.h"

namespace lugfork {

/** How the share of a service's new flows that stays in the own zone is found. */
enum class LocalityMode {
  /** The own zone's weight is always the largest. */
  Constant,
  /** Lowered where the own zone's usable slots are few. */
  Capacity,
  /** The same, and lowered where the own zone's back ends answer later than others. */
  Adaptive,
};

/** @return the mode's name in settings. */
std::string_view toString(LocalityMode mode);

/** Why a part of the new flows leaves the own zone beyond what its largest weight sends. */
enum class OverflowCause { None, Capacity, ResponseTime, Last = ResponseTime };

std::string_view toString(OverflowCause cause);

/** Tunables of a LocalityRouter. */
struct LocalitySettings {
  LocalityMode mode = LocalityMode::Adaptive;
  /** Largest weight of a back end in the own zone, as a multiple of that of others. */
  double largest_weight = 1;
  /** The same for flows of routes whose callers send large requests: their bytes cross zones. */
  double largest_bulk_weight = 1;
  /**
   * Flows that the own zone takes, as a multiple of what its part of the usable slots would get if
   * every zone had the same traffic and all slots were busy. Above 1, since slots are seldom all
   * busy; from twice that on the response times have to tell.
   */
  double headroom = 2;
  /** Multiple of others' response times from which the own zone counts as late... */
  double late_from = 1.3;
  /** ...and as in time again; the gap keeps the share still. */
  double in_time_below = 1.15;
  /** Least time that a caller gains by leaving the own zone; less is not worth the bytes. */
  Duration smallest_gain = milliseconds(10);
  /** Shortest time between two steps away from the own zone: an answer or two must show the last.
   */
  Duration overflow_interval = milliseconds(500);
  /** Time in which the own zone must have been in time before a step back. */
  Duration return_interval = seconds(1);
  /** Longest such time; it doubles when a step back makes the own zone late again. */
  Duration longest_return_interval = seconds(8);
};

/** Slots of a service's back ends that may get new flows. */
struct LocalityCapacity {
  /** In the own zone; and of these, by speed, those that are warm and seem to answer. */
  double own_slots = 0;
  double own_usable = 0;
  /** The same in all allowed zones, the own one included. */
  double all_slots = 0;
  double all_usable = 0;
  /** Zones that may have callers. */
  std::size_t zones = 1;
};

/** Flows placed since the start of the process. */
struct LocalityCounters {
  std::uint64_t own_zone = 0;
  /** Placed in another zone, by the cause of the share at that time. */
  std::uint64_t beyond[static_cast<std::size_t>(OverflowCause::Last) + 1] = {};
};

/**
 * Finds by service how much more the back ends of the own zone weigh in the placement of new flows.
 * The share of the own zone moves in a few steps between all and the even one, which its slots
 * alone would give: at once where its usable slots are few, one or two steps at a time where its
 * back ends answer later than others, and back one by one. Balancers that see much the same stand
 * on the same step, and a flow's hash then gives the same choice on each.
 */
class LocalityRouter {
 public:
  LocalityRouter(const LocalitySettings& settings, const TimeSource& time_source, EventLog& log)
      : settings_(settings), time_source_(time_source), log_(log) {}

  /** A caller has received the beginning of an answer, that long after it began to ask. */
  void onResponse(ServiceId service, bool own_zone, Duration duration);

  /** Notes where a new flow goes. */
  void onPlaced(ServiceId service, bool own_zone);

  /** Takes the present capacity and moves the share; to be called a few times a second. */
  void assess(const Service& service, const LocalityCapacity& capacity);

  /** @return weight of the own zone's back ends as a multiple of others', as last assessed. */
  double weight(ServiceId service, bool bulk) const;

  /** @return true where the own zone alone can take its part of the traffic. */
  bool ownZoneSuffices(const LocalityCapacity& capacity) const;

  /** Forgets services that are not known any more. */
  void retain(const ConfigurationView& configuration);

  /** @return the share of new flows that stays in the own zone, by slots alone. */
  double ownShare(ServiceId service) const;
  OverflowCause cause(ServiceId service) const;
  LocalityCounters counters(ServiceId service) const;

 private:
  struct State {
    /** Steps away from the own zone. */
    int level = 0;
    OverflowCause cause = OverflowCause::None;
    bool assessed = false;
    /** Share of the own zone by its slots alone. */
    double even_share = 1;
    MonotonicTime raised_at;
    /** Last time that speaks against a step back: it was late, or stepped. */
    MonotonicTime not_before;
    Duration return_interval{};
    bool returned_last = false;
    LogTimeStatistics own;
    LogTimeStatistics others;
    LocalityCounters counters;
  };

  enum class Lateness { InTime, Between, Late, VeryLate };

  const State* find(ServiceId service) const;
  double shareAt(const State& state) const;
  int floorOf(const State& state, const LocalityCapacity& capacity) const;
  Lateness lateness(const State& state, MonotonicTime now) const;
  void raise(State& state, int floor, int steps, MonotonicTime now) const;
  void stepBack(State& state, int floor, MonotonicTime now) const;
  void move(State& state, int floor) const;
  void logStep(const Service& service, const State& state, const LocalityCapacity& capacity) const;

  const LocalitySettings settings_;
  const TimeSource& time_source_;
  EventLog& log_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
