#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "common/event_log.h"
#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"
#include "flow/log_time_statistics.h"
#include "load/zone_demand.h"

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

/** Why more new flows leave the own zone than with its largest weight. */
enum class OverflowCause { None, Capacity, ResponseTime, Demand, Last = Demand };

std::string_view toString(OverflowCause cause);

/** Tunables of a LocalityRouter. */
struct LocalitySettings {
  LocalityMode mode = LocalityMode::Adaptive;
  /** Largest weight of a back end in the own zone, as a multiple of that of others. */
  double max_weight = 1;
  /** The same for flows of routes whose callers send large requests: their bytes cross zones. */
  double max_bulk_weight = 1;
  /**
   * The own zone keeps at most this times the number of zones times its part of all usable slots.
   * Above 1, since slots are seldom all busy: with 2, a zone keeps all its flows down to half of an
   * even part of the usable slots; overload above that shows in response times.
   */
  double headroom = 2;
  /**
   * Part of its usable slots that the own zone's callers may keep busy where their demand is known.
   * At 0.7 a request waits about as long as its work takes at servers of two slots (0.6 times at
   * 0.6, 1.8 times at 0.8), and the rest takes what other zones send.
   */
  double target_utilisation = 0.7;
  /**
   * Multiple of the service time from which callers of other zones are seen to wait there. Then,
   * and where the own zone answers no later, nothing is gained by leaving it.
   */
  double queueing_ratio = 1.5;
  /** Multiple of others' response times from which the own zone counts as late... */
  double slow_ratio = 1.3;
  /** ...and below which it no longer does; between the two the share stays as it is. */
  double recovered_ratio = 1.15;
  /** Least time that a caller gains by leaving the own zone; less is not worth the bytes. */
  Duration min_gain = milliseconds(10);
  /**
   * Shortest time between two steps away from the own zone: the effect of the last one must first
   * show in an answer or two.
   */
  Duration overflow_cooldown = milliseconds(500);
  /** Time for which the own zone must not have been late before a step back. */
  Duration return_delay = seconds(1);
  /** Longest such time; it doubles when a step back makes the own zone late again. */
  Duration max_return_delay = seconds(8);
};

/** Slots of a service's back ends that may get new flows. */
struct LocalityCapacity {
  /** In the own zone; and of these, by speed, those that are warm and seem to answer. */
  double local_slots = 0;
  double local_usable_slots = 0;
  /** The same in all allowed zones, the own one included. */
  double total_slots = 0;
  double total_usable_slots = 0;
  /** Zones that may have callers. */
  std::size_t zone_count = 1;
  /** What the callers of the own zone ask, wherever they are served. */
  DemandEstimate demand = {};
};

/** Flows placed since the start of the process. */
struct LocalityCounters {
  std::uint64_t local_zone = 0;
  /** Placed in another zone, by the cause of the share at that time. */
  std::uint64_t remote_by_cause[static_cast<std::size_t>(OverflowCause::Last) + 1] = {};
};

/**
 * Finds by service how much more the back ends of the own zone weigh in the placement of new flows.
 * The share of the own zone moves in a few steps between all and the even one, which its slots
 * alone would give: at once where its callers are known to keep more slots busy than it should
 * serve, or, where that is not known, where its usable slots are few; where its back ends answer
 * later than others, one step at a time, or several where they are very late; and back one by one.
 * What demand alone sends beyond is taken back step by step where others' callers wait as long as
 * those of the own zone: then all are full, and nothing is gained. Balancers that see much the same
 * stand on the same step, and a flow's hash then gives the same choice on each.
 */
class LocalityRouter {
 public:
  LocalityRouter(const LocalitySettings& settings, const TimeSource& time_source, EventLog& log)
      : settings_(settings), time_source_(time_source), log_(log) {}

  /** A caller has received the beginning of an answer, that long after it began to ask. */
  void onResponse(ServiceId service, bool is_local, Duration duration);

  /** Notes where a new flow goes. */
  void onPlaced(ServiceId service, bool is_local);

  /** Takes the present capacity and moves the share; to be called a few times a second. */
  void assess(const Service& service, const LocalityCapacity& capacity);

  /** @return weight of the own zone's back ends as a multiple of others', as last assessed. */
  double weight(ServiceId service, bool bulk) const;

  /** @return true where the own zone alone can take its part of the traffic. */
  bool localZoneSuffices(const LocalityCapacity& capacity) const;

  /** Forgets services that are not known any more. */
  void retain(const ConfigurationView& configuration);

  /** @return share of new flows that stays in the own zone by weight and slots, without load. */
  double localFraction(ServiceId service) const;
  OverflowCause cause(ServiceId service) const;
  LocalityCounters counters(ServiceId service) const;

 private:
  struct State {
    /** Steps away from the own zone. */
    int level = 0;
    OverflowCause cause = OverflowCause::None;
    bool assessed = false;
    /** Share of the own zone by its slots alone. */
    double slot_fraction = 1;
    MonotonicTime last_raise_at;
    /** Last time that speaks against a step back: it was late, or stepped. */
    MonotonicTime return_delay_since;
    Duration return_delay{};
    bool last_change_was_return = false;
    /** Steps that the demand calls for, with hysteresis; unset where it is not known. */
    std::optional<int> demand_level;
    /** Of these, steps taken back since they gained nothing. */
    int relief_steps = 0;
    /** Last time that speaks against taking one more back. */
    MonotonicTime relief_delay_since;
    LogTimeStatistics local;
    LogTimeStatistics remote;
    LocalityCounters counters;
  };

  enum class LatencyComparison { NotSlower, WithinHysteresis, Slower, MuchSlower };

  const State* find(ServiceId service) const;
  /** @return share of new flows that the own zone keeps at the state's level. */
  double localFractionAt(const State& state) const;
  /** @return least steps away from the own zone that its usable slots call for. */
  int minLevel(const State& state, const LocalityCapacity& capacity) const;
  /** The same by usable slots alone, where the demand is not known. */
  int capacityLevel(const State& state, const LocalityCapacity& capacity) const;
  /** Brings the steps that the demand calls for up to date. */
  void updateDemandLevel(State& state, const LocalityCapacity& capacity) const;
  /** Takes back a step of these where both sides answer alike. */
  void reduceDemandOverflow(State& state, const LocalityCapacity& capacity) const;
  /** @return true where others' callers wait too, and the own zone's are answered no later. */
  bool overflowHasNoGain(const State& state, Duration service_time, MonotonicTime now) const;
  /** @return how much later the own zone answers; NotSlower where there are too few answers. */
  LatencyComparison compareLatency(const State& state, MonotonicTime now) const;
  /** Moves away from the own zone, by the steps and at least to the floor. */
  void raiseLevel(State& state, int min_level, int steps, MonotonicTime now) const;
  /** Moves one step back where the zone was not late for the return interval. */
  void lowerLevel(State& state, int min_level, MonotonicTime now) const;
  void updateLevel(State& state, int min_level) const;
  void logLevelChange(const Service& service, const State& state,
                      const LocalityCapacity& capacity) const;

  const LocalitySettings settings_;
  const TimeSource& time_source_;
  EventLog& log_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
