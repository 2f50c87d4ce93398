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

/** How the fraction of a service's new flows that stays in the local zone is computed. */
enum class LocalityMode {
  /** The local zone always has the maximum weight. */
  Constant,
  /** The weight is lowered when the local zone has few usable slots. */
  Capacity,
  /** Like Capacity; also lowered when local backends answer more slowly than remote ones. */
  Adaptive,
};

/** @return the mode's name in settings. */
std::string_view toString(LocalityMode mode);

/** Why more new flows leave the local zone than with its maximum weight. */
enum class OverflowCause { None, Capacity, ResponseTime, Demand, Last = Demand };

std::string_view toString(OverflowCause cause);

/** Settings of LocalityRouter. */
struct LocalitySettings {
  LocalityMode mode = LocalityMode::Adaptive;
  /** Maximum weight of a backend in the local zone, as a multiple of that of remote backends. */
  double max_weight = 1;
  /** The same for flows of routes with large requests, whose bytes would cross zones. */
  double max_bulk_weight = 1;
  /**
   * The fraction of flows kept locally is at most this factor times the number of zones times the
   * local zone's fraction of all usable slots. It is above 1 because slots are seldom all busy:
   * with 2 and n zones, a zone keeps all its flows down to 1 / 2n of the usable slots.
   * Overload beyond that is detected by response times.
   */
  double headroom = 2;
  /**
   * Fraction of the usable local slots that local clients may keep busy where their demand is
   * known. At 0.7 the queueing delay at backends with two slots about equals the service time (0.6
   * times at 0.6, 1.8 times at 0.8); the remaining slots serve flows from other zones.
   */
  double target_utilization = 0.7;
  /**
   * Ratio of the remote response time to the service time from which requests count as queued in
   * other zones. If the local zone is then no slower, sending flows there gains nothing.
   */
  double queueing_ratio = 1.5;
  /** Ratio of local to remote response times from which the local zone counts as slower. */
  double slow_ratio = 1.3;
  /** Ratio below which it no longer does. Between the two the local fraction stays unchanged. */
  double recovered_ratio = 1.15;
  /** Minimum gain in response time that justifies the traffic across zones. */
  Duration min_gain = milliseconds(10);
  /**
   * Minimum time between two increases of the overflow, so that the effect of the last one is
   * visible in some answers first.
   */
  Duration overflow_cooldown = milliseconds(500);
  /** Time for which the local zone must not have been slower before the overflow is reduced. */
  Duration return_delay = seconds(1);
  /** Maximum of that delay; it doubles when a reduction makes the local zone slower again. */
  Duration max_return_delay = seconds(8);
};

/** Slots of a service's backends that may receive new flows. */
struct LocalityCapacity {
  /** Slots in the local zone; usable slots are those of warm, healthy backends, scaled by speed. */
  double local_slots = 0;
  double local_usable_slots = 0;
  /** The same in all allowed zones, including the local one. */
  double total_slots = 0;
  double total_usable_slots = 0;
  /** Number of zones that may have clients. */
  std::size_t zone_count = 1;
  /** Demand of the local zone's clients, wherever they are served. */
  DemandEstimate demand = {};
};

/** Number of flows placed since the start of the process. */
struct LocalityCounters {
  std::uint64_t local_zone = 0;
  /** Flows placed in other zones, by the cause of the overflow at that time. */
  std::uint64_t remote_by_cause[static_cast<std::size_t>(OverflowCause::Last) + 1] = {};
};

/**
 * Computes for each service the weight of local backends in the placement of new flows.
 *
 * The fraction of flows kept locally moves through a few levels, from all flows (level 0) to the
 * local zone's fraction of the slots (highest level). The level rises
 * - at once, if local clients are known to keep more slots busy than the zone should serve or,
 *   where the demand is unknown, if the zone has few usable slots;
 * - by one step, or several if the difference is large, when local backends answer more slowly
 *   than remote ones.
 * It falls by one step at a time. Overflow caused by demand alone is also reduced when requests
 * wait as long in other zones as locally: all zones are full then, and overflow gains nothing.
 *
 * Levels are few so that balancers with similar observations are at the same level, where the hash
 * of a flow gives the same choice on each of them.
 */
class LocalityRouter {
 public:
  LocalityRouter(const LocalitySettings& settings, const TimeSource& time_source, EventLog& log)
      : settings_(settings), time_source_(time_source), log_(log) {}

  /** Records a response time, from the first packet of a request to the first of its answer. */
  void onResponse(ServiceId service, bool is_local, Duration duration);

  /** Counts a placed flow. */
  void onPlaced(ServiceId service, bool is_local);

  /** Updates the level from the present capacity; to be called a few times per second. */
  void assess(const Service& service, const LocalityCapacity& capacity);

  /** @return weight of local backends as a multiple of that of remote ones, as last assessed. */
  double weight(ServiceId service, bool bulk) const;

  /** @return true if the local zone alone can serve its fraction of the traffic. */
  bool localZoneSuffices(const LocalityCapacity& capacity) const;

  /** Removes the state of services that are no longer configured. */
  void retain(const ConfigurationView& configuration);

  /** @return fraction of new flows kept locally by weight and slots alone, regardless of load. */
  double localFraction(ServiceId service) const;
  OverflowCause cause(ServiceId service) const;
  LocalityCounters counters(ServiceId service) const;

 private:
  struct State {
    /** Present level; 0 keeps all flows local. */
    int level = 0;
    OverflowCause cause = OverflowCause::None;
    bool assessed = false;
    /** The local zone's fraction of all slots. */
    double slot_fraction = 1;
    MonotonicTime last_raise_at;
    /** Start of the return delay: the last time the zone was slower or the level changed. */
    MonotonicTime return_delay_since;
    Duration return_delay{};
    bool last_change_was_return = false;
    /** Level that the demand calls for, with hysteresis; unset if the demand is unknown. */
    std::optional<int> demand_level;
    /** Steps by which the demand level is reduced because overflow gained nothing. */
    int relief_steps = 0;
    /** Start of the delay before the next such reduction. */
    MonotonicTime relief_delay_since;
    LogTimeStatistics local;
    LogTimeStatistics remote;
    LocalityCounters counters;
  };

  enum class LatencyComparison { NotSlower, WithinHysteresis, Slower, MuchSlower };

  const State* find(ServiceId service) const;
  /** @return fraction of new flows kept locally at the state's level. */
  double localFractionAt(const State& state) const;
  /** @return minimum level, by demand if it is known, else by usable slots. */
  int minLevel(const State& state, const LocalityCapacity& capacity) const;
  /** @return level that the usable slots alone call for. */
  int capacityLevel(const State& state, const LocalityCapacity& capacity) const;
  /** Updates the level that the demand calls for. */
  void updateDemandLevel(State& state, const LocalityCapacity& capacity) const;
  /** Reduces the overflow by demand while local and remote zones are equally slow. */
  void reduceDemandOverflow(State& state, const LocalityCapacity& capacity) const;
  /** @return true if requests are queued in other zones too and the local zone is no slower. */
  bool overflowHasNoGain(const State& state, Duration service_time, MonotonicTime now) const;
  /** @return local response times compared to remote ones; NotSlower with too few samples. */
  LatencyComparison compareLatency(const State& state, MonotonicTime now) const;
  /** Raises the level by the given steps, at least to min_level. */
  void raiseLevel(State& state, int min_level, int steps, MonotonicTime now) const;
  /** Lowers the level by one step if the zone was not slower during the return delay. */
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
