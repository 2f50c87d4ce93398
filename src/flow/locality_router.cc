#include "flow/locality_router.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace lugfork {

namespace {

/**
 * Level at which flows are distributed by slots alone; level 0 keeps all of them local. With three
 * equal zones one step moves about 4% of the flows, so that balancers one step apart still choose
 * the same backend for over 93 of 100 flows.
 */
constexpr int kMaxLevel = 16;
/**
 * Time constant of local response times. It covers about thirty answers at a balancer with a dozen
 * flows per second; a shift of clients between zones is detected after half of it.
 */
constexpr Duration kLocalTimeConstant = milliseconds(2500);
/**
 * The same for other zones, which get few flows: a balancer with low traffic sees one answer in two
 * seconds and needs a dozen to distinguish a ratio of 1.5 from chance.
 */
constexpr Duration kRemoteTimeConstant = seconds(30);
/** Minimum number of answers from each side for a comparison. */
constexpr double kMinSamples = 4;
/** Minimum difference in standard errors; one comparison in 40 exceeds it by chance. */
constexpr double kMinStandardErrors = 2;
/**
 * Exponent of LocalitySettings::slow_ratio from which the local zone counts as much slower: 1.9
 * times the remote response times if slow_ratio is 1.3.
 */
constexpr double kMuchSlowerExponent = 2.5;
/**
 * Steps by which the level rises if the local zone is much slower. When a zone's demand grows to
 * 130% of its slots, its backends stop being slower after 8 s with four steps and after 11 s with
 * two (load replay, 60 balancers per zone).
 */
constexpr int kMuchSlowerSteps = 4;
/**
 * Steps by which the demand must fall before its level follows. An estimate from a hundred requests
 * has an error of a tenth, which is up to two steps; levels must not oscillate because of it.
 */
constexpr int kDemandHysteresisSteps = 2;
/** Steps by which the demand level is reduced at once if overflow gained nothing. */
constexpr int kReliefSteps = 2;
/** Steps by which the demand must exceed a level before it rises; prevents oscillation as well. */
constexpr double kDemandToleranceSteps = 0.5;

}  // namespace

std::string_view toString(LocalityMode mode) {
  switch (mode) {
    case LocalityMode::Constant:
      return "constant";
    case LocalityMode::Capacity:
      return "capacity";
    case LocalityMode::Adaptive:
      return "adaptive";
  }
  return "unknown";
}

std::string_view toString(OverflowCause cause) {
  switch (cause) {
    case OverflowCause::None:
      return "none";
    case OverflowCause::Capacity:
      return "capacity";
    case OverflowCause::ResponseTime:
      return "response_time";
    case OverflowCause::Demand:
      return "demand";
  }
  return "unknown";
}

void LocalityRouter::onResponse(ServiceId service, bool is_local, Duration duration) {
  const auto found = states_.find(service);
  if (found == states_.end()) {
    return;
  }
  LogTimeStatistics& statistics = is_local ? found->second.local : found->second.remote;
  statistics.add(duration, time_source_.monotonicTime());
}

void LocalityRouter::onPlaced(ServiceId service, bool is_local) {
  const auto found = states_.find(service);
  if (found == states_.end()) {
    return;
  }
  LocalityCounters& counters = found->second.counters;
  std::uint64_t& counter =
      is_local ? counters.local_zone
               : counters.remote_by_cause[static_cast<std::size_t>(found->second.cause)];
  ++counter;
}

void LocalityRouter::assess(const Service& service, const LocalityCapacity& capacity) {
  State& state = states_[service.id];
  const int level_before = state.level;
  state.slot_fraction = capacity.total_slots > 0 ? capacity.local_slots / capacity.total_slots : 1;
  if (state.slot_fraction >= 1) {
    // No other zone has slots, so earlier answers from other zones must not affect the level.
    state.level = 0;
    state.remote = LogTimeStatistics(kRemoteTimeConstant);
  }
  updateDemandLevel(state, capacity);
  reduceDemandOverflow(state, capacity);
  const int min_level = minLevel(state, capacity);
  const OverflowCause min_level_cause =
      state.demand_level ? OverflowCause::Demand : OverflowCause::Capacity;
  if (!state.assessed) {
    state.assessed = true;
    state.local = LogTimeStatistics(kLocalTimeConstant);
    state.remote = LogTimeStatistics(kRemoteTimeConstant);
    state.return_delay = settings_.return_delay;
    // A balancer that has just started takes the level of others with the same observations.
    state.level = min_level;
  }
  updateLevel(state, min_level);
  if (state.level == min_level) {
    state.cause = min_level == 0 ? OverflowCause::None : min_level_cause;
  }
  if (state.level != level_before) {
    logLevelChange(service, state, capacity);
  }
}

void LocalityRouter::updateLevel(State& state, int min_level) const {
  const MonotonicTime now = time_source_.monotonicTime();
  if (min_level > state.level) {
    // Lost slots and new demand take effect at once; slow answers would reveal them only later.
    raiseLevel(state, min_level, 0, now);
    return;
  }
  const LatencyComparison comparison = settings_.mode == LocalityMode::Adaptive
                                           ? compareLatency(state, now)
                                           : LatencyComparison::NotSlower;
  if (comparison == LatencyComparison::NotSlower) {
    lowerLevel(state, min_level, now);
    return;
  }
  state.return_delay_since = now;
  const bool may_raise = now - state.last_raise_at >= settings_.overflow_cooldown;
  if (comparison != LatencyComparison::WithinHysteresis && may_raise && state.level < kMaxLevel) {
    raiseLevel(state, min_level, comparison == LatencyComparison::MuchSlower ? kMuchSlowerSteps : 1,
               now);
    state.cause = OverflowCause::ResponseTime;
  }
}

void LocalityRouter::raiseLevel(State& state, int min_level, int steps, MonotonicTime now) const {
  if (state.last_change_was_return) {
    // The last reduction went too far. A longer delay before the next one prevents oscillation.
    state.return_delay = std::min(2 * state.return_delay, settings_.max_return_delay);
  }
  state.last_change_was_return = false;
  state.level = std::clamp(state.level + steps, min_level, kMaxLevel);
  state.last_raise_at = now;
  state.return_delay_since = now;
}

void LocalityRouter::lowerLevel(State& state, int min_level, MonotonicTime now) const {
  if (state.level <= min_level) {
    state.return_delay = settings_.return_delay;
    return;
  }
  if (now - state.return_delay_since < state.return_delay) {
    return;
  }
  --state.level;
  state.last_change_was_return = true;
  state.return_delay_since = now;
}

int LocalityRouter::minLevel(const State& state, const LocalityCapacity& capacity) const {
  if (settings_.mode == LocalityMode::Constant || state.slot_fraction >= 1) {
    return 0;
  }
  return state.demand_level ? std::max(0, *state.demand_level - state.relief_steps)
                            : capacityLevel(state, capacity);
}

int LocalityRouter::capacityLevel(const State& state, const LocalityCapacity& capacity) const {
  const double zone_count = static_cast<double>(std::max<std::size_t>(capacity.zone_count, 1));
  const double usable_fraction = capacity.total_usable_slots > 0
                                     ? capacity.local_usable_slots / capacity.total_usable_slots
                                     : state.slot_fraction;
  const double local_fraction = std::min(1.0, settings_.headroom * zone_count * usable_fraction);
  const double overflow_fraction = (1 - local_fraction) / (1 - state.slot_fraction);
  // Rounded up to a whole step; 1e-9 keeps rounding errors from adding one.
  return std::clamp(static_cast<int>(std::ceil(overflow_fraction * kMaxLevel - 1e-9)), 0,
                    kMaxLevel);
}

void LocalityRouter::updateDemandLevel(State& state, const LocalityCapacity& capacity) const {
  if (capacity.demand.busy_slots <= 0 || state.slot_fraction >= 1) {
    state.demand_level.reset();
    state.relief_steps = 0;
    return;
  }
  const double kept_fraction =
      settings_.target_utilization * capacity.local_usable_slots / capacity.demand.busy_slots;
  // Negative if the zone has free capacity; the hysteresis takes that into account.
  const double demand_steps = (1 - kept_fraction) / (1 - state.slot_fraction) * kMaxLevel;
  const bool in_band = state.demand_level &&
                       demand_steps <= *state.demand_level + kDemandToleranceSteps &&
                       demand_steps >= *state.demand_level - kDemandHysteresisSteps;
  if (!in_band) {
    const double clamped_steps = std::clamp(demand_steps, 0.0, static_cast<double>(kMaxLevel));
    state.demand_level = static_cast<int>(std::ceil(clamped_steps - 1e-9));
  }
  state.relief_steps = std::min(state.relief_steps, *state.demand_level);
}

bool LocalityRouter::overflowHasNoGain(const State& state, Duration service_time,
                                       MonotonicTime now) const {
  if (std::min(state.local.count(now), state.remote.count(now)) < kMinSamples) {
    return false;
  }
  const double difference = state.local.mean() - state.remote.mean();
  const double standard_error =
      std::sqrt(state.local.varianceOfMean(now) + state.remote.varianceOfMean(now));
  const double service_ms = std::chrono::duration<double, std::milli>(service_time).count();
  return difference + standard_error < std::log(settings_.recovered_ratio) &&
         state.remote.geometricMeanMs() > settings_.queueing_ratio * service_ms;
}

void LocalityRouter::reduceDemandOverflow(State& state, const LocalityCapacity& capacity) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool level_is_demand_level = state.demand_level &&
                                     state.relief_steps < *state.demand_level &&
                                     state.level == *state.demand_level - state.relief_steps;
  if (settings_.mode != LocalityMode::Adaptive || !level_is_demand_level ||
      !overflowHasNoGain(state, capacity.demand.service_time, now)) {
    state.relief_delay_since = now;
    return;
  }
  if (now - state.relief_delay_since < state.return_delay / 2) {
    return;
  }
  const int relief_before = state.relief_steps;
  state.relief_steps = std::min(state.relief_steps + kReliefSteps, *state.demand_level);
  state.level -= state.relief_steps - relief_before;
  state.last_change_was_return = true;
  state.relief_delay_since = now;
}

bool LocalityRouter::localZoneSuffices(const LocalityCapacity& capacity) const {
  return settings_.mode != LocalityMode::Constant && capacity.local_slots > 0 &&
         settings_.headroom * static_cast<double>(capacity.zone_count) *
                 capacity.local_usable_slots >=
             capacity.total_slots;
}

LocalityRouter::LatencyComparison LocalityRouter::compareLatency(const State& state,
                                                                 MonotonicTime now) const {
  if (std::min(state.local.count(now), state.remote.count(now)) < kMinSamples) {
    return LatencyComparison::NotSlower;
  }
  const double gain_ms = state.local.geometricMeanMs() - state.remote.geometricMeanMs();
  const double min_gain_ms = std::chrono::duration<double, std::milli>(settings_.min_gain).count();
  const double difference = state.local.mean() - state.remote.mean();
  const double standard_error =
      std::sqrt(state.local.varianceOfMean(now) + state.remote.varianceOfMean(now));
  if (gain_ms < min_gain_ms / 2 || difference < std::log(settings_.recovered_ratio)) {
    return LatencyComparison::NotSlower;
  }
  const double log_slow_ratio = std::log(settings_.slow_ratio);
  if (gain_ms < min_gain_ms ||
      difference < std::max(log_slow_ratio, kMinStandardErrors * standard_error)) {
    return LatencyComparison::WithinHysteresis;
  }
  return difference < kMuchSlowerExponent * log_slow_ratio ? LatencyComparison::Slower
                                                           : LatencyComparison::MuchSlower;
}

const LocalityRouter::State* LocalityRouter::find(ServiceId service) const {
  const auto found = states_.find(service);
  return found == states_.end() ? nullptr : &found->second;
}

double LocalityRouter::localFractionAt(const State& state) const {
  return 1 - (1 - state.slot_fraction) * state.level / kMaxLevel;
}

double LocalityRouter::weight(ServiceId service, bool bulk) const {
  const double max_weight = bulk ? settings_.max_bulk_weight : settings_.max_weight;
  const State* state = find(service);
  if (state == nullptr || state->level == 0 || state->slot_fraction <= 0 ||
      state->slot_fraction >= 1) {
    return max_weight;
  }
  const double local_fraction = localFractionAt(*state);
  const double remote_slots_ratio = (1 - state->slot_fraction) / state->slot_fraction;
  return std::clamp(local_fraction / (1 - local_fraction) * remote_slots_ratio, 1.0,
                    std::max(max_weight, 1.0));
}

double LocalityRouter::localFraction(ServiceId service) const {
  const State* state = find(service);
  if (state == nullptr) {
    return 1;
  }
  const double local_weight = weight(service, false) * state->slot_fraction;
  return local_weight <= 0 ? 0 : local_weight / (local_weight + 1 - state->slot_fraction);
}

OverflowCause LocalityRouter::cause(ServiceId service) const {
  const State* state = find(service);
  return state == nullptr ? OverflowCause::None : state->cause;
}

LocalityCounters LocalityRouter::counters(ServiceId service) const {
  const State* state = find(service);
  return state == nullptr ? LocalityCounters() : state->counters;
}

void LocalityRouter::retain(const ConfigurationView& configuration) {
  std::erase_if(states_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
}

void LocalityRouter::logLevelChange(const Service& service, const State& state,
                                    const LocalityCapacity& capacity) const {
  log_.write(
      LogLevel::Info, "locality", "own_zone_share_changed",
      {{"service", service.name},
       {"share_percent", static_cast<std::uint64_t>(std::lround(100 * localFraction(service.id)))},
       {"cause", std::string(toString(state.cause))},
       {"own_slots_usable", static_cast<std::uint64_t>(std::lround(capacity.local_usable_slots))},
       {"all_slots_usable", static_cast<std::uint64_t>(std::lround(capacity.total_usable_slots))},
       {"own_demand_slots", static_cast<std::uint64_t>(std::lround(capacity.demand.busy_slots))},
       {"own_ms", static_cast<std::uint64_t>(std::lround(state.local.geometricMeanMs()))},
       {"others_ms", static_cast<std::uint64_t>(std::lround(state.remote.geometricMeanMs()))}});
}

}  // namespace lugfork
