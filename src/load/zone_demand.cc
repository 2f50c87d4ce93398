#include "load/zone_demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lugfork {

namespace {

double inSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double ZoneBalancers::inOwnZone() const {
  if (own_zone > 0) {
    return static_cast<double>(own_zone);
  }
  const std::size_t spread_over = std::max<std::size_t>(zones, 1);
  return std::max(1.0, static_cast<double>(all) / static_cast<double>(spread_over));
}

void ZoneDemand::Count::fade(double elapsed_s, Duration lifetime) {
  const double kept = std::exp(-elapsed_s / inSeconds(lifetime));
  requests *= kept;
  seconds = seconds * kept + (1 - kept) * inSeconds(lifetime);
}

void ZoneDemand::Count::weighAs(double count) {
  if (requests > 0) {
    seconds *= count / requests;
    requests = count;
  }
}

void ZoneDemand::onRequest(ServiceId service) {
  const auto [found, is_new] = states_.try_emplace(service);
  if (is_new) {
    // The first request begins the time in which others are counted.
    found->second.updated_at = time_source_.monotonicTime();
    return;
  }
  ++found->second.fresh;
}

DemandEstimate ZoneDemand::update(ServiceId service, Duration service_time,
                                  const ZoneBalancers& balancers) {
  const auto found = states_.find(service);
  if (found == states_.end()) {
    return {};
  }
  State& state = found->second;
  const MonotonicTime now = time_source_.monotonicTime();
  follow(state, inSeconds(now - state.updated_at));
  state.updated_at = now;
  const bool known =
      state.smoothed.requests >= settings_.requests_needed && service_time > Duration();
  const double slots = state.smoothed.rate() * inSeconds(service_time) * balancers.inOwnZone();
  state.told = {known ? slots : 0, service_time};
  return state.told;
}

void ZoneDemand::follow(State& state, double elapsed_s) const {
  if (elapsed_s <= 0) {
    return;
  }
  const Count fresh{state.fresh, elapsed_s};
  state.fresh = 0;
  state.recent.fade(elapsed_s, settings_.recent);
  state.recent.requests += fresh.requests;
  state.smoothed.fade(elapsed_s, settings_.longest_smoothing);
  state.smoothed.requests += fresh.requests;
  takeChange(state, fresh);
  if (state.smoothed.requests > settings_.requests_smoothed) {
    state.smoothed.weighAs(settings_.requests_smoothed);
  }
}

void ZoneDemand::takeChange(State& state, const Count& fresh) const {
  const double expected = state.smoothed.rate() * state.recent.seconds;
  // A fading count spreads as one of half of its requests does.
  const double error = std::sqrt(std::max(expected, state.recent.requests) / 2);
  const double errors = (state.recent.requests - expected) / error;
  if (error <= 0 || (errors <= settings_.rise_errors && errors >= -settings_.fall_errors)) {
    return;
  }
  const double weight = std::min(state.smoothed.requests, settings_.requests_needed);
  state.smoothed = state.recent;
  if (fresh.rate() > state.recent.rate()) {
    // In a rise the recent rate lags: what came since the last update counts twice.
    state.smoothed.requests += fresh.requests;
    state.smoothed.seconds += fresh.seconds;
  }
  // What was known stays so, but weighs little against what comes next.
  if (state.smoothed.requests < weight) {
    state.smoothed.weighAs(weight);
  }
}

DemandEstimate ZoneDemand::demand(ServiceId service) const {
  const auto found = states_.find(service);
  return found == states_.end() ? DemandEstimate() : found->second.told;
}

void ZoneDemand::retain(const ConfigurationView& configuration) {
  std::erase_if(states_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
}

}  // namespace lugfork
