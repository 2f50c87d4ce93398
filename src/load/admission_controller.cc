#include "load/admission_controller.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Flows a second below which a class counts as absent. */
constexpr double kLeastDemand = 0.5;
/** Pressure below which slots are free, so that the rate is released and not steered. */
constexpr double kFreeBelow = 0.5;
/** Beyond the demand by so much, a limit of the rate means nothing any more. */
constexpr double kBeyondDemand = 1.1;
constexpr double kFullFrom = 0.5;
/** Time after which slots are counted again: a service may have thousands of servers, of which a
 * few come and go in a second. */
constexpr Duration kSlotsLifetime = seconds(1);
/** Part of the most urgent class's admitted flows that stays admitted at the next step where the
 * class alone brings more than the slots take. */
constexpr double kUrgentStays = 0.5;
constexpr int kServiceTimesOfRelease = 4;

double inSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** @return a number in [0, 1) that follows from the flow alone, apart from the placement's hash. */
double unitOf(const FlowId& flow) {
  constexpr std::uint64_t kSeed = 0x61646d6974;
  const std::uint64_t content[] = {flow.high, flow.low};
  return static_cast<double>(XXH3_64bits_withSeed(content, sizeof(content), kSeed) >> 11) *
         0x1.0p-53;
}

std::size_t indexOf(const RequestClass& request_class) {
  return std::min<std::size_t>(request_class.priority, kPriorities - 1);
}

double usableSlots(const ConfigurationView& configuration, ServiceId service) {
  double slots = 0;
  for (const Backend* backend : configuration.backendsOf(service)) {
    slots += backend->draining ? 0 : backend->slots;
  }
  return slots;
}

bool hasServersElsewhere(const ConfigurationView& configuration, ServiceId service,
                         const std::string& own_zone) {
  const Zone* own = configuration.zoneNamed(own_zone);
  const Service* known = configuration.service(service);
  if (own == nullptr || known == nullptr) {
    return false;
  }
  const std::vector<const Backend*>& backends = configuration.backendsOf(service);
  return std::any_of(backends.begin(), backends.end(), [&](const Backend* backend) {
    return backend->zone != own->id && known->allowsZone(backend->zone) && !backend->draining;
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
  const std::size_t index = indexOf(request_class);
  state.arrived[index] += 1;
  state.targets[index] = request_class.target;
  double rank = 0;
  for (std::size_t other = index + 1; other < kPriorities; ++other) {
    rank += state.demand[other] >= kLeastDemand ? 1 : 0;
  }
  const bool is_admitted = unitOf(flow) >= std::clamp(state.level - rank, 0.0, 1.0);
  state.admitted += is_admitted ? 1 : 0;
  return is_admitted;
}

void AdmissionController::tick(const ConfigurationView& configuration, std::size_t balancers) {
  std::erase_if(states_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
  const MonotonicTime now = time_source_.monotonicTime();
  for (auto& [service, state] : states_) {
    const double elapsed_s = std::clamp(inSeconds(now - state.ticked_at), 0.01, 1.0);
    learnDemand(state, now, elapsed_s);
    if (policy_ == nullptr) {
      continue;
    }
    if (state.slots_at == MonotonicTime() || now - state.slots_at >= kSlotsLifetime) {
      state.usable_slots = usableSlots(configuration, service);
      state.has_servers_elsewhere = hasServersElsewhere(configuration, service, settings_.own_zone);
      state.slots_at = now;
    }
    PressureInput input{loads_.load(service),
                        state.usable_slots,
                        static_cast<double>(std::max<std::size_t>(balancers, 1)),
                        {},
                        state.has_servers_elsewhere,
                        responseElsewhere(state, now)};
    for (std::size_t index = 0; index < kPriorities; ++index) {
      const Duration target = state.targets[index];
      const bool counts = state.demand[index] >= kLeastDemand && target.count() > 0;
      if (counts && (input.smallest_target.count() == 0 || target < input.smallest_target)) {
        input.smallest_target = target;
      }
    }
    const double before = state.pressure;
    state.pressure = mayHaveRoomElsewhere(input) ? 0 : policy_->pressure(input);
    moveRate(state, input.load, elapsed_s);
    const double own_slots_rate = ownSlotsRate(state, input);
    if (state.admitted_rate < 0 || own_slots_rate <= 0) {
      state.level = 0;
      continue;
    }
    const double least = settings_.least_share * own_slots_rate;
    const double most = settings_.largest_share * own_slots_rate;
    state.admitted_rate = std::max(
        state.pressure > 1 ? std::min(state.admitted_rate, most) : state.admitted_rate, least);
    const double excess = std::clamp((state.pressure + before) / 2 - 1, -1.0, 1.0);
    const double rate = std::max(state.admitted_rate * (1 - settings_.damping * excess), least);
    state.level = levelFor(state.demand, rate, urgentRate(state, input));
  }
}

void AdmissionController::onResponseElsewhere(ServiceId service, Duration duration) {
  const MonotonicTime now = time_source_.monotonicTime();
  State& state = states_[service];
  const double kept = keptElsewhere(state, now);
  state.answers_elsewhere = state.answers_elsewhere * kept + 1;
  state.answers_elsewhere_s = state.answers_elsewhere_s * kept + inSeconds(duration);
  state.elsewhere_at = now;
}

double AdmissionController::keptElsewhere(const State& state, MonotonicTime now) const {
  return std::exp(-inSeconds(now - state.elsewhere_at) / inSeconds(settings_.elsewhere_memory));
}

Duration AdmissionController::responseElsewhere(const State& state, MonotonicTime now) const {
  const double answers = state.answers_elsewhere * keptElsewhere(state, now);
  if (answers < settings_.answers_elsewhere_needed) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(state.answers_elsewhere_s / state.answers_elsewhere));
}

void AdmissionController::learnDemand(State& state, MonotonicTime now, double elapsed_s) const {
  const double kept =
      state.is_learned ? std::exp(-elapsed_s / inSeconds(settings_.demand_memory)) : 0;
  for (std::size_t index = 0; index < kPriorities; ++index) {
    state.demand[index] =
        state.demand[index] * kept + state.arrived[index] / elapsed_s * (1 - kept);
  }
  state.admitted_demand = state.admitted_demand * kept + state.admitted / elapsed_s * (1 - kept);
  state.arrived = {};
  state.admitted = 0;
  state.ticked_at = now;
  state.is_learned = true;
}

void AdmissionController::moveRate(State& state, const ServiceLoad& load, double elapsed_s) const {
  double demand = 0;
  for (const double part : state.demand) {
    demand += part;
  }
  const double excess = std::min(state.pressure - 1, settings_.largest_excess);
  if (state.admitted_rate < 0) {
    if (excess <= 0) {
      return;
    }
    state.admitted_rate = demand;
  }
  if (state.pressure < kFreeBelow) {
    // Answers of slow services may be few for a moment without a change of their queues.
    const Duration release =
        std::max(settings_.release, kServiceTimesOfRelease * load.service_time);
    state.admitted_rate *= std::exp(elapsed_s / inSeconds(release));
  } else {
    const double full = std::max(excess - kFullFrom, 0.0);
    // Near the limit the effect of a step shows after a response time; with full queues the steps
    // needn't wait for it.
    const double change =
        settings_.gain * excess / inSeconds(std::max(settings_.response, load.response_time)) +
        settings_.gain_when_full * full /
            inSeconds(std::max(settings_.response, load.service_time));
    state.admitted_rate *= std::exp(-change * elapsed_s);
  }
  if (state.admitted_rate > demand * kBeyondDemand) {
    state.admitted_rate = excess > 0 ? demand : -1;
  }
}

double AdmissionController::urgentRate(const State& state, const PressureInput& input) {
  double rank = 0;
  double urgent = 0;
  for (std::size_t index = kPriorities; index-- > 0;) {
    if (state.demand[index] >= kLeastDemand) {
      rank += urgent > 0 ? 1 : 0;
      urgent = state.demand[index];
    }
  }
  const double admitted = urgent * (1 - std::clamp(state.level - rank, 0.0, 1.0));
  const double of_others = std::max(input.load.requests_per_second - admitted, 0.0);
  return std::max(requestsOfOwnSlots(input), of_others + kUrgentStays * admitted);
}

double AdmissionController::requestsOfOwnSlots(const PressureInput& input) {
  const double service_s = inSeconds(input.load.service_time);
  return service_s <= 0 ? 0 : input.usable_slots / service_s / input.balancers;
}

double AdmissionController::ownSlotsRate(const State& state, const PressureInput& input) {
  if (state.admitted_demand <= 0) {
    return 0;
  }
  // Some callers send many requests on a flow.
  const double requests_of_flow =
      std::max(input.load.requests_per_second / state.admitted_demand, 1.0);
  return requestsOfOwnSlots(input) / requests_of_flow;
}

double AdmissionController::levelFor(const Demand& demand, double admitted_rate,
                                     double urgent_rate) {
  double excess = -admitted_rate;
  std::size_t most_urgent = kPriorities;
  for (std::size_t index = kPriorities; index-- > 0;) {
    if (demand[index] >= kLeastDemand) {
      excess += demand[index];
      most_urgent = index;
    }
  }
  double level = 0;
  for (std::size_t index = kPriorities; index-- > 0 && excess > 0;) {
    if (demand[index] < kLeastDemand) {
      continue;
    }
    double part = std::min(excess / demand[index], 1.0);
    if (index == most_urgent) {
      part = std::min(part, std::max(1 - urgent_rate / demand[index], 0.0));
    }
    level += part;
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
