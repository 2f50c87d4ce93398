#include "flow/locality_router.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace lugfork {

namespace {

/**
 * Steps from keeping all flows in the own zone to sharing them out by slots. With three equal zones
 * one step moves some 4% of the flows, so that balancers one step apart still choose the same back
 * end for over 93 of 100 flows.
 */
constexpr int kSteps = 16;
/** Time for which answers of the own zone count: some thirty at a node of a dozen flows a second,
 * and a move of callers shows after half of it. */
constexpr Duration kOwnLifetime = milliseconds(2500);
/** The same for other zones, which get few flows: a small node sees one answer in two seconds, and
 * needs a dozen to tell 1.5 times from chance. */
constexpr Duration kOthersLifetime = seconds(30);
/** Answers needed from each side before they are compared. */
constexpr double kSamplesNeeded = 4;
/** A difference counts from so many standard errors on: one comparison in 40 errs by chance. */
constexpr double kStandardErrors = 2;
/**
 * Lateness, as a power of LocalitySettings::late_from, from which kVeryLateSteps are made at once:
 * 1.9 times the others' response times where late_from is 1.3.
 */
constexpr double kVeryLatePower = 2.5;
/**
 * Steps for back ends that are very late. Where a zone's callers grow to 130% of its slots, its
 * back ends stop being late after 8 s with four steps, after 11 s with two (replay, 60 balancers in
 * a zone).
 */
constexpr int kVeryLateSteps = 4;
/**
 * Steps by which the demand must fall before its level follows: an estimate from a hundred requests
 * errs by a tenth, which is up to two steps, and balancers must not go to and fro for that.
 */
constexpr int kDemandHysteresis = 2;
/** Steps of those by demand that are taken back at once where they gained nothing. */
constexpr int kReliefSteps = 2;
/** Part of a step by which the demand must pass a level before it rises, for the same reason. */
constexpr double kDemandTolerance = 0.5;

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

void LocalityRouter::onResponse(ServiceId service, bool own_zone, Duration duration) {
  const auto found = states_.find(service);
  if (found == states_.end()) {
    return;
  }
  LogTimeStatistics& statistics = own_zone ? found->second.own : found->second.others;
  statistics.add(duration, time_source_.monotonicTime());
}

void LocalityRouter::onPlaced(ServiceId service, bool own_zone) {
  const auto found = states_.find(service);
  if (found == states_.end()) {
    return;
  }
  LocalityCounters& counters = found->second.counters;
  std::uint64_t& counter =
      own_zone ? counters.own_zone : counters.beyond[static_cast<std::size_t>(found->second.cause)];
  ++counter;
}

void LocalityRouter::assess(const Service& service, const LocalityCapacity& capacity) {
  State& state = states_[service.id];
  const int level_before = state.level;
  state.even_share = capacity.all_slots > 0 ? capacity.own_slots / capacity.all_slots : 1;
  if (state.even_share >= 1) {
    // No other zone has slots: what is remembered of their answers must not move the share.
    state.level = 0;
    state.others = LogTimeStatistics(kOthersLifetime);
  }
  followDemand(state, capacity);
  relieve(state, capacity);
  const int floor = floorOf(state, capacity);
  const OverflowCause floor_cause =
      state.demand_level ? OverflowCause::Demand : OverflowCause::Capacity;
  if (!state.assessed) {
    state.assessed = true;
    state.own = LogTimeStatistics(kOwnLifetime);
    state.others = LogTimeStatistics(kOthersLifetime);
    state.return_interval = settings_.return_interval;
    // A node that starts stands where those that see the same stand.
    state.level = floor;
  }
  move(state, floor);
  if (state.level == floor) {
    state.cause = floor == 0 ? OverflowCause::None : floor_cause;
  }
  if (state.level != level_before) {
    logStep(service, state, capacity);
  }
}

void LocalityRouter::move(State& state, int floor) const {
  const MonotonicTime now = time_source_.monotonicTime();
  if (floor > state.level) {
    // Lost slots and new demand count at once: until late answers showed them, callers would wait.
    raise(state, floor, 0, now);
    return;
  }
  const Lateness seen =
      settings_.mode == LocalityMode::Adaptive ? lateness(state, now) : Lateness::InTime;
  if (seen == Lateness::InTime) {
    stepBack(state, floor, now);
    return;
  }
  state.not_before = now;
  const bool may_raise = now - state.raised_at >= settings_.overflow_interval;
  if (seen != Lateness::Between && may_raise && state.level < kSteps) {
    raise(state, floor, seen == Lateness::VeryLate ? kVeryLateSteps : 1, now);
    state.cause = OverflowCause::ResponseTime;
  }
}

void LocalityRouter::raise(State& state, int floor, int steps, MonotonicTime now) const {
  if (state.returned_last) {
    // The last step back was one too many: wait longer before the next, or the share would swing.
    state.return_interval = std::min(2 * state.return_interval, settings_.longest_return_interval);
  }
  state.returned_last = false;
  state.level = std::clamp(state.level + steps, floor, kSteps);
  state.raised_at = now;
  state.not_before = now;
}

void LocalityRouter::stepBack(State& state, int floor, MonotonicTime now) const {
  if (state.level <= floor) {
    state.return_interval = settings_.return_interval;
    return;
  }
  if (now - state.not_before < state.return_interval) {
    return;
  }
  --state.level;
  state.returned_last = true;
  state.not_before = now;
}

int LocalityRouter::floorOf(const State& state, const LocalityCapacity& capacity) const {
  if (settings_.mode == LocalityMode::Constant || state.even_share >= 1) {
    return 0;
  }
  return state.demand_level ? std::max(0, *state.demand_level - state.relief)
                            : capacityLevel(state, capacity);
}

int LocalityRouter::capacityLevel(const State& state, const LocalityCapacity& capacity) const {
  const double zones = static_cast<double>(std::max<std::size_t>(capacity.zones, 1));
  const double usable =
      capacity.all_usable > 0 ? capacity.own_usable / capacity.all_usable : state.even_share;
  const double share = std::min(1.0, settings_.headroom * zones * usable);
  const double away = (1 - share) / (1 - state.even_share);
  // Rounded up to a whole step away from the own zone; 1e-9 keeps rounding errors from adding one.
  return std::clamp(static_cast<int>(std::ceil(away * kSteps - 1e-9)), 0, kSteps);
}

void LocalityRouter::followDemand(State& state, const LocalityCapacity& capacity) const {
  if (capacity.demand.busy_slots <= 0 || state.even_share >= 1) {
    state.demand_level.reset();
    state.relief = 0;
    return;
  }
  const double kept =
      settings_.target_utilisation * capacity.own_usable / capacity.demand.busy_slots;
  // Negative where the zone has room to spare: hysteresis counts that too.
  const double away = (1 - kept) / (1 - state.even_share) * kSteps;
  const bool in_band = state.demand_level && away <= *state.demand_level + kDemandTolerance &&
                       away >= *state.demand_level - kDemandHysteresis;
  if (!in_band) {
    const double bounded = std::clamp(away, 0.0, static_cast<double>(kSteps));
    state.demand_level = static_cast<int>(std::ceil(bounded - 1e-9));
  }
  state.relief = std::min(state.relief, *state.demand_level);
}

bool LocalityRouter::gainsNothing(const State& state, Duration service_time,
                                  MonotonicTime now) const {
  if (std::min(state.own.count(now), state.others.count(now)) < kSamplesNeeded) {
    return false;
  }
  const double difference = state.own.mean() - state.others.mean();
  const double error = std::sqrt(state.own.varianceOfMean(now) + state.others.varianceOfMean(now));
  const double service_ms = std::chrono::duration<double, std::milli>(service_time).count();
  return difference + error < std::log(settings_.in_time_below) &&
         state.others.geometricMeanMs() > settings_.waits_from * service_ms;
}

void LocalityRouter::relieve(State& state, const LocalityCapacity& capacity) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool stands_by_demand = state.demand_level && state.relief < *state.demand_level &&
                                state.level == *state.demand_level - state.relief;
  if (settings_.mode != LocalityMode::Adaptive || !stands_by_demand ||
      !gainsNothing(state, capacity.demand.service_time, now)) {
    state.relief_not_before = now;
    return;
  }
  if (now - state.relief_not_before < state.return_interval / 2) {
    return;
  }
  const int before = state.relief;
  state.relief = std::min(state.relief + kReliefSteps, *state.demand_level);
  state.level -= state.relief - before;
  state.returned_last = true;
  state.relief_not_before = now;
}

bool LocalityRouter::ownZoneSuffices(const LocalityCapacity& capacity) const {
  return settings_.mode != LocalityMode::Constant && capacity.own_slots > 0 &&
         settings_.headroom * static_cast<double>(capacity.zones) * capacity.own_usable >=
             capacity.all_slots;
}

LocalityRouter::Lateness LocalityRouter::lateness(const State& state, MonotonicTime now) const {
  if (std::min(state.own.count(now), state.others.count(now)) < kSamplesNeeded) {
    return Lateness::InTime;
  }
  const double gain_ms = state.own.geometricMeanMs() - state.others.geometricMeanMs();
  const double smallest_ms =
      std::chrono::duration<double, std::milli>(settings_.smallest_gain).count();
  const double difference = state.own.mean() - state.others.mean();
  const double error = std::sqrt(state.own.varianceOfMean(now) + state.others.varianceOfMean(now));
  if (gain_ms < smallest_ms / 2 || difference < std::log(settings_.in_time_below)) {
    return Lateness::InTime;
  }
  const double late = std::log(settings_.late_from);
  if (gain_ms < smallest_ms || difference < std::max(late, kStandardErrors * error)) {
    return Lateness::Between;
  }
  return difference < kVeryLatePower * late ? Lateness::Late : Lateness::VeryLate;
}

const LocalityRouter::State* LocalityRouter::find(ServiceId service) const {
  const auto found = states_.find(service);
  return found == states_.end() ? nullptr : &found->second;
}

double LocalityRouter::shareAt(const State& state) const {
  return 1 - (1 - state.even_share) * state.level / kSteps;
}

double LocalityRouter::weight(ServiceId service, bool bulk) const {
  const double largest = bulk ? settings_.largest_bulk_weight : settings_.largest_weight;
  const State* state = find(service);
  if (state == nullptr || state->level == 0 || state->even_share <= 0 || state->even_share >= 1) {
    return largest;
  }
  const double share = shareAt(*state);
  const double others = (1 - state->even_share) / state->even_share;
  return std::clamp(share / (1 - share) * others, 1.0, std::max(largest, 1.0));
}

double LocalityRouter::ownShare(ServiceId service) const {
  const State* state = find(service);
  if (state == nullptr) {
    return 1;
  }
  const double own = weight(service, false) * state->even_share;
  return own <= 0 ? 0 : own / (own + 1 - state->even_share);
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

void LocalityRouter::logStep(const Service& service, const State& state,
                             const LocalityCapacity& capacity) const {
  log_.write(
      LogLevel::Info, "locality", "own_zone_share_changed",
      {{"service", service.name},
       {"share_percent", static_cast<std::uint64_t>(std::lround(100 * ownShare(service.id)))},
       {"cause", std::string(toString(state.cause))},
       {"own_slots_usable", static_cast<std::uint64_t>(std::lround(capacity.own_usable))},
       {"all_slots_usable", static_cast<std::uint64_t>(std::lround(capacity.all_usable))},
       {"own_demand_slots", static_cast<std::uint64_t>(std::lround(capacity.demand.busy_slots))},
       {"own_ms", static_cast<std::uint64_t>(std::lround(state.own.geometricMeanMs()))},
       {"others_ms", static_cast<std::uint64_t>(std::lround(state.others.geometricMeanMs()))}});
}

}  // namespace lugfork
