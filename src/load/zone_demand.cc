#include "load/zone_demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lugfork {

namespace {

double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double ZoneBalancers::inLocalZone() const {
  if (local_zone > 0) {
    return static_cast<double>(local_zone);
  }
  const std::size_t zone_divisor = std::max<std::size_t>(zone_count, 1);
  return std::max(1.0, static_cast<double>(total) / static_cast<double>(zone_divisor));
}

void ZoneDemand::Count::decay(double elapsed_s, Duration time_constant) {
  const double remaining = std::exp(-elapsed_s / toSeconds(time_constant));
  requests *= remaining;
  seconds = seconds * remaining + (1 - remaining) * toSeconds(time_constant);
}

void ZoneDemand::Count::setWeight(double count) {
  if (requests > 0) {
    seconds *= count / requests;
    requests = count;
  }
}

void ZoneDemand::onRequest(ServiceId service) {
  const auto [entry, is_new] = states_.try_emplace(service);
  if (is_new) {
    // The first request starts the period in which further ones are counted.
    entry->second.updated_at = time_source_.monotonicTime();
    return;
  }
  ++entry->second.new_requests;
}

DemandEstimate ZoneDemand::update(ServiceId service, Duration service_time,
                                  const ZoneBalancers& balancers) {
  const auto entry = states_.find(service);
  if (entry == states_.end()) {
    return {};
  }
  State& state = entry->second;
  const MonotonicTime now = time_source_.monotonicTime();
  updateRates(state, toSeconds(now - state.updated_at));
  state.updated_at = now;
  const bool is_known =
      state.smoothed.requests >= settings_.min_requests && service_time > Duration();
  const double slots = state.smoothed.rate() * toSeconds(service_time) * balancers.inLocalZone();
  state.estimate = {is_known ? slots : 0, service_time};
  return state.estimate;
}

void ZoneDemand::updateRates(State& state, double elapsed_s) const {
  if (elapsed_s <= 0) {
    return;
  }
  const Count new_requests{state.new_requests, elapsed_s};
  state.new_requests = 0;
  state.recent.decay(elapsed_s, settings_.recent_time_constant);
  state.recent.requests += new_requests.requests;
  state.smoothed.decay(elapsed_s, settings_.max_smoothing_time_constant);
  state.smoothed.requests += new_requests.requests;
  adoptChange(state, new_requests);
  if (state.smoothed.requests > settings_.max_smoothed_requests) {
    state.smoothed.setWeight(settings_.max_smoothed_requests);
  }
}

void ZoneDemand::adoptChange(State& state, const Count& new_requests) const {
  const double expected = state.smoothed.rate() * state.recent.seconds;
  // The variance of an exponentially decaying count is half of its mean.
  const double standard_error = std::sqrt(std::max(expected, state.recent.requests) / 2);
  const double standard_errors = (state.recent.requests - expected) / standard_error;
  if (standard_error <= 0 || (standard_errors <= settings_.rise_threshold &&
                              standard_errors >= -settings_.fall_threshold)) {
    return;
  }
  const double weight = std::min(state.smoothed.requests, settings_.min_requests);
  state.smoothed = state.recent;
  if (new_requests.rate() > state.recent.rate()) {
    // During a rise the recent rate lags behind, so the requests since the last update count twice.
    state.smoothed.requests += new_requests.requests;
    state.smoothed.seconds += new_requests.seconds;
  }
  // A known demand stays known, but has little weight against the next requests.
  if (state.smoothed.requests < weight) {
    state.smoothed.setWeight(weight);
  }
}

DemandEstimate ZoneDemand::demand(ServiceId service) const {
  const auto entry = states_.find(service);
  return entry == states_.end() ? DemandEstimate() : entry->second.estimate;
}

void ZoneDemand::retain(const ConfigurationView& configuration) {
  std::erase_if(states_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
}

}  // namespace lugfork
