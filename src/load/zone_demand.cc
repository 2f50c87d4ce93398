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

DemandEstimate ZoneDemand::update(ServiceId service, const ServiceLoad& load,
                                  const ZoneBalancers& balancers) {
  const MonotonicTime now = time_source_.monotonicTime();
  const auto [found, is_new] = states_.try_emplace(service);
  State& state = found->second;
  if (is_new) {
    state.first_at = now;
    state.updated_at = now;
  }
  follow(state, std::max(load.requests_per_second, 0.0), now);
  const bool known = state.requests >= settings_.requests_needed && load.service_time > Duration();
  // Its level rises at once and falls slowly, so that chance would count one way without this.
  const double told = 1 - 0.5 / std::sqrt(std::max(state.requests, 1.0));
  const double slots = state.rate * inSeconds(load.service_time) * balancers.inOwnZone();
  state.told = {known ? told * slots : 0, load.service_time};
  return state.told;
}

void ZoneDemand::follow(State& state, double rate, MonotonicTime now) const {
  const double smoothing_s = inSeconds(settings_.rate_smoothing);
  // A rate says nothing of the time long before it was smoothed.
  const double elapsed_s = std::min(inSeconds(now - state.updated_at), smoothing_s);
  state.updated_at = now;
  // A rate that is smoothed over a time rests on the requests of twice that time.
  const double window_s = std::min(inSeconds(now - state.first_at), 2 * smoothing_s);
  if (window_s <= 0) {
    return;
  }
  const double error = std::sqrt(std::max(state.rate, rate) / window_s);
  if (state.requests > 0 && std::abs(rate - state.rate) > settings_.change_errors * error) {
    // What was known stays so, but weighs little against what comes next.
    const double least = std::min(state.requests, settings_.requests_needed);
    state.requests = std::clamp(rate * window_s, least, state.requests);
    state.rate = rate;
    if (elapsed_s > 0 && elapsed_s < smoothing_s) {
      // The smoothed rate lags behind a change: what came since the last update leads.
      const double old_part = std::exp(-elapsed_s / smoothing_s);
      state.rate = std::max(rate, (rate - state.seen_rate * old_part) / (1 - old_part));
    }
  }
  state.seen_rate = rate;
  // What the estimate rests on fades, so that a service whose callers have left is not known.
  const double kept = std::exp(-elapsed_s / inSeconds(settings_.longest_smoothing));
  const double seen = rate * elapsed_s;
  state.requests = std::min(state.requests * kept + seen, settings_.requests_smoothed);
  if (state.requests > 0) {
    state.rate += (rate - state.rate) * std::min(1.0, seen / state.requests);
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
