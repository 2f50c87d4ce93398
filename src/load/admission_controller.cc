#include "load/admission_controller.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Demand below which a class counts as absent [flows/s]. */
constexpr double kMinDemandPerSecond = 0.5;
/** Pressure below which slots are free: the rate limit then grows regardless of the pressure. */
constexpr double kMaxFreePressure = 0.5;
/** Rate limit relative to the demand above which the limit has no effect and is discarded. */
constexpr double kMaxLimitToDemandRatio = 1.1;
/** Excess pressure above which the backends' queues are full. */
constexpr double kFullQueueExcess = 0.5;
/**
 * Time after which slots are counted again: a service may have thousands of backends, of which a
 * few come and go within a second.
 */
constexpr Duration kSlotCountInterval = seconds(1);
/**
 * Fraction of the most urgent class's admitted flows that stays admitted in the next step if the
 * class alone exceeds the slots.
 */
constexpr double kUrgentRetainedFraction = 0.5;
/** Minimum time constant of that growth, as a multiple of the service time. */
constexpr int kReleaseServiceTimes = 4;

double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** @return a number in [0, 1) derived from the flow alone, independent of the placement's hash. */
double unitHash(const FlowId& flow) {
  constexpr std::uint64_t kSeed = 0x61646d6974;
  const std::uint64_t content[] = {flow.high, flow.low};
  return static_cast<double>(XXH3_64bits_withSeed(content, sizeof(content), kSeed) >> 11) *
         0x1.0p-53;
}

std::size_t priorityIndex(const RequestClass& request_class) {
  return std::min<std::size_t>(request_class.priority, kPriorityCount - 1);
}

double usableSlots(const ConfigurationView& configuration, ServiceId service) {
  double slots = 0;
  for (const Backend* backend : configuration.backendsOf(service)) {
    slots += backend->draining ? 0 : backend->slots;
  }
  return slots;
}

bool hasRemoteBackends(const ConfigurationView& configuration, ServiceId service,
                       const std::string& local_zone) {
  const Zone* local = configuration.zoneNamed(local_zone);
  const Service* service_record = configuration.service(service);
  if (local == nullptr || service_record == nullptr) {
    return false;
  }
  const std::vector<const Backend*>& backends = configuration.backendsOf(service);
  return std::any_of(backends.begin(), backends.end(), [&](const Backend* backend) {
    return backend->zone != local->id && service_record->allowsZone(backend->zone) &&
           !backend->draining;
  });
}

}  // namespace

AdmissionController::AdmissionController(const AdmissionSettings& settings,
                                         const ServiceLoadEstimator& loads,
                                         std::unique_ptr<PressurePolicy> policy,
                                         const TimeSource& time_source)
    : settings_(settings), loads_(loads), policy_(std::move(policy)), time_source_(time_source) {}

bool AdmissionController::admits(const Service& service, const RequestClass& request_class,
                                 const FlowId& flow) {
  State& state = states_[service.id];
  const std::size_t index = priorityIndex(request_class);
  state.arrivals[index] += 1;
  state.targets[index] = request_class.target;
  double rank = 0;
  for (std::size_t other = index + 1; other < kPriorityCount; ++other) {
    rank += state.demand[other] >= kMinDemandPerSecond ? 1 : 0;
  }
  const bool is_admitted = unitHash(flow) >= std::clamp(state.level - rank, 0.0, 1.0);
  state.admitted_count += is_admitted ? 1 : 0;
  return is_admitted;
}

void AdmissionController::tick(const ConfigurationView& configuration, std::size_t balancers) {
  std::erase_if(states_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
  const MonotonicTime now = time_source_.monotonicTime();
  for (auto& [service, state] : states_) {
    const double elapsed_s = std::clamp(toSeconds(now - state.last_tick_at), 0.01, 1.0);
    updateDemand(state, now, elapsed_s);
    if (policy_ == nullptr) {
      continue;
    }
    if (state.slots_counted_at == MonotonicTime() ||
        now - state.slots_counted_at >= kSlotCountInterval) {
      state.usable_slots = usableSlots(configuration, service);
      state.has_remote_backends = hasRemoteBackends(configuration, service, settings_.local_zone);
      state.slots_counted_at = now;
    }
    PressureInput input{loads_.load(service),
                        state.usable_slots,
                        static_cast<double>(std::max<std::size_t>(balancers, 1)),
                        {},
                        state.has_remote_backends,
                        remoteResponseTime(state, now)};
    for (std::size_t index = 0; index < kPriorityCount; ++index) {
      const Duration target = state.targets[index];
      const bool has_target = state.demand[index] >= kMinDemandPerSecond && target.count() > 0;
      if (has_target && (input.min_target.count() == 0 || target < input.min_target)) {
        input.min_target = target;
      }
    }
    const double previous_pressure = state.pressure;
    state.pressure = remoteBackendsMayHaveCapacity(input) ? 0 : policy_->pressure(input);
    updateRateLimit(state, input.load, elapsed_s);
    const double flow_capacity = flowCapacity(state, input);
    if (state.rate_limit < 0 || flow_capacity <= 0) {
      state.level = 0;
      continue;
    }
    const double min_rate = settings_.min_rate_ratio * flow_capacity;
    const double max_rate = settings_.max_rate_ratio * flow_capacity;
    state.rate_limit = std::max(
        state.pressure > 1 ? std::min(state.rate_limit, max_rate) : state.rate_limit, min_rate);
    const double excess = std::clamp((state.pressure + previous_pressure) / 2 - 1, -1.0, 1.0);
    const double rate = std::max(state.rate_limit * (1 - settings_.damping * excess), min_rate);
    state.level = levelFor(state.demand, rate, guaranteedUrgentRate(state, input));
  }
}

void AdmissionController::onRemoteResponse(ServiceId service, Duration duration) {
  const MonotonicTime now = time_source_.monotonicTime();
  State& state = states_[service];
  const double decay = remoteDecay(state, now);
  state.remote_response_count = state.remote_response_count * decay + 1;
  state.remote_response_sum_s = state.remote_response_sum_s * decay + toSeconds(duration);
  state.remote_updated_at = now;
}

double AdmissionController::remoteDecay(const State& state, MonotonicTime now) const {
  return std::exp(-toSeconds(now - state.remote_updated_at) /
                  toSeconds(settings_.remote_time_constant));
}

Duration AdmissionController::remoteResponseTime(const State& state, MonotonicTime now) const {
  const double response_count = state.remote_response_count * remoteDecay(state, now);
  if (response_count < settings_.min_remote_responses) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(state.remote_response_sum_s / state.remote_response_count));
}

void AdmissionController::updateDemand(State& state, MonotonicTime now, double elapsed_s) const {
  const double decay =
      state.is_initialized ? std::exp(-elapsed_s / toSeconds(settings_.demand_time_constant)) : 0;
  for (std::size_t index = 0; index < kPriorityCount; ++index) {
    state.demand[index] =
        state.demand[index] * decay + state.arrivals[index] / elapsed_s * (1 - decay);
  }
  state.admitted_per_second =
      state.admitted_per_second * decay + state.admitted_count / elapsed_s * (1 - decay);
  state.arrivals = {};
  state.admitted_count = 0;
  state.last_tick_at = now;
  state.is_initialized = true;
}

void AdmissionController::updateRateLimit(State& state, const ServiceLoad& load,
                                          double elapsed_s) const {
  double demand = 0;
  for (const double class_demand : state.demand) {
    demand += class_demand;
  }
  const double excess = std::min(state.pressure - 1, settings_.max_excess);
  if (state.rate_limit < 0) {
    if (excess <= 0) {
      return;
    }
    state.rate_limit = demand;
  }
  if (state.pressure < kMaxFreePressure) {
    // Responses of slow services may be few for a moment although their queues have not changed.
    const Duration release =
        std::max(settings_.release_time_constant, kReleaseServiceTimes * load.service_time);
    state.rate_limit *= std::exp(elapsed_s / toSeconds(release));
  } else {
    const double full_queue_excess = std::max(excess - kFullQueueExcess, 0.0);
    // Near the limit the effect of a step shows after a response time; with full queues the steps
    // need not wait for it.
    const double change = settings_.gain * excess /
                              toSeconds(std::max(settings_.min_response_time, load.response_time)) +
                          settings_.gain_when_full * full_queue_excess /
                              toSeconds(std::max(settings_.min_response_time, load.service_time));
    state.rate_limit *= std::exp(-change * elapsed_s);
  }
  if (state.rate_limit > demand * kMaxLimitToDemandRatio) {
    state.rate_limit = excess > 0 ? demand : -1;
  }
}

double AdmissionController::guaranteedUrgentRate(const State& state, const PressureInput& input) {
  double rank = 0;
  double urgent = 0;
  for (std::size_t index = kPriorityCount; index-- > 0;) {
    if (state.demand[index] >= kMinDemandPerSecond) {
      rank += urgent > 0 ? 1 : 0;
      urgent = state.demand[index];
    }
  }
  const double admitted = urgent * (1 - std::clamp(state.level - rank, 0.0, 1.0));
  const double other_requests = std::max(input.load.requests_per_second - admitted, 0.0);
  return std::max(requestCapacity(input), other_requests + kUrgentRetainedFraction * admitted);
}

double AdmissionController::requestCapacity(const PressureInput& input) {
  const double service_s = toSeconds(input.load.service_time);
  return service_s <= 0 ? 0 : input.usable_slots / service_s / input.balancer_count;
}

double AdmissionController::flowCapacity(const State& state, const PressureInput& input) {
  if (state.admitted_per_second <= 0) {
    return 0;
  }
  // Some clients send many requests on a flow.
  const double requests_per_flow =
      std::max(input.load.requests_per_second / state.admitted_per_second, 1.0);
  return requestCapacity(input) / requests_per_flow;
}

double AdmissionController::levelFor(const Demand& demand, double rate_limit,
                                     double guaranteed_rate) {
  double excess = -rate_limit;
  std::size_t most_urgent = kPriorityCount;
  for (std::size_t index = kPriorityCount; index-- > 0;) {
    if (demand[index] >= kMinDemandPerSecond) {
      excess += demand[index];
      most_urgent = index;
    }
  }
  double level = 0;
  for (std::size_t index = kPriorityCount; index-- > 0 && excess > 0;) {
    if (demand[index] < kMinDemandPerSecond) {
      continue;
    }
    double rejected_fraction = std::min(excess / demand[index], 1.0);
    if (index == most_urgent) {
      rejected_fraction =
          std::min(rejected_fraction, std::max(1 - guaranteed_rate / demand[index], 0.0));
    }
    level += rejected_fraction;
    excess -= demand[index];
  }
  return level;
}

double AdmissionController::level(ServiceId service) const {
  const auto found = states_.find(service);
  return found == states_.end() ? 0 : found->second.level;
}

double AdmissionController::pressure(ServiceId service) const {
  const auto found = states_.find(service);
  return found == states_.end() ? 0 : found->second.pressure;
}

}  // namespace lugfork
