#include "load/service_load.h"

#include <algorithm>
#include <cmath>

#include "load/service_time.h"

namespace lugfork {

namespace {

/**
 * A response that is shorter than the usual one by this factor is presumed to be a rejection.
 * Backends queue only a few requests per slot, so a request that was processed at once takes more
 * than a sixth of the time of a queued one.
 */
constexpr double kMinRejectionRatio = 6;
/**
 * Minimum response time of processed requests, relative to the service time, while queues are long.
 * Shorter responses are then rejections by full backends.
 */
constexpr double kMinWorkFraction = 0.7;
/** Mean response time relative to the service time from which queues count as long. */
constexpr double kMinQueueRatio = 2;
/**
 * Time constant and ratio by which presumed rejections must outnumber other responses before the
 * work itself is assumed to have become shorter.
 */
constexpr Duration kWorkChangeTimeConstant = seconds(5);
constexpr double kMinWorkChangeRatio = 20;
/**
 * Slow responses are smoothed over this many service times, so that a balancer with little traffic
 * sees some.
 */
constexpr int kSmoothedServiceTimes = 3;
/**
 * Maximum smoothing time constant: slow responses have to be detected before clients give up,
 * after one or two seconds.
 */
constexpr Duration kMaxSmoothingTimeConstant = seconds(2);

double inMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMilliseconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

/** Exponentially decaying sum. */
struct DecayingSum {
  double value = 0;
  MonotonicTime updated_at;

  double valueAt(MonotonicTime time, Duration time_constant) const {
    const double age = static_cast<double>((time - updated_at).count());
    return value * std::exp(-age / static_cast<double>(time_constant.count()));
  }
  void add(double amount, MonotonicTime time, Duration time_constant) {
    value = valueAt(time, time_constant) + amount;
    updated_at = time;
  }
};

}  // namespace

double ServiceLoad::requestsPerBusySlot() const {
  if (service_time.count() <= 0 || response_time.count() <= 0) {
    return 0;
  }
  return std::max(1.0, inMilliseconds(response_time) / inMilliseconds(service_time));
}

struct ServiceLoadEstimator::State {
  explicit State(Duration service_time_window, MonotonicTime now)
      : service_time(service_time_window), created_at(now) {}

  ServiceTime service_time;
  MonotonicTime created_at;
  DecayingSum requests;
  DecayingSum responses;
  DecayingSum response_sum_ms;
  DecayingSum work_responses;
  DecayingSum presumed_rejections;

  Duration smoothingTimeConstant(const ServiceLoadSettings& settings, MonotonicTime now) const {
    const Duration service = fromMilliseconds(service_time.valueMs(now));
    return std::clamp(kSmoothedServiceTimes * service, settings.smoothing_time_constant,
                      std::max(settings.smoothing_time_constant, kMaxSmoothingTimeConstant));
  }

  /** @return mean recent response time [ms]; 0 without any response. */
  double meanResponseMs() const {
    return responses.value > 0 ? response_sum_ms.value / responses.value : 0;
  }

  bool isPresumedRejection(double response_ms, MonotonicTime now) const {
    const double service_ms = service_time.valueMs(now);
    const double mean_ms = meanResponseMs();
    if (service_ms <= 0 || mean_ms < kMinQueueRatio * service_ms) {
      return response_ms * kMinRejectionRatio < std::max(service_ms, mean_ms);
    }
    return response_ms < kMinWorkFraction * service_ms;
  }
};

ServiceLoadEstimator::ServiceLoadEstimator(ServiceLoadSettings settings,
                                           const TimeSource& time_source)
    : settings_(settings), time_source_(time_source) {}

ServiceLoadEstimator::~ServiceLoadEstimator() = default;

ServiceLoadEstimator::State& ServiceLoadEstimator::stateOf(ServiceId service) {
  const MonotonicTime now = time_source_.monotonicTime();
  return states_.try_emplace(service, settings_.service_time_window, now).first->second;
}

void ServiceLoadEstimator::onRequest(ServiceId service) {
  stateOf(service).requests.add(1, time_source_.monotonicTime(), settings_.smoothing_time_constant);
}

void ServiceLoadEstimator::onResponse(ServiceId service, Duration duration) {
  const MonotonicTime now = time_source_.monotonicTime();
  const double response_ms = std::max(inMilliseconds(duration), 0.0);
  State& state = stateOf(service);
  if (state.isPresumedRejection(response_ms, now)) {
    state.presumed_rejections.add(1, now, kWorkChangeTimeConstant);
    const double work_responses = state.work_responses.valueAt(now, kWorkChangeTimeConstant);
    if (state.presumed_rejections.valueAt(now, kWorkChangeTimeConstant) <
        kMinWorkChangeRatio * (1 + work_responses)) {
      return;
    }
    // Nearly all responses are that short, so they are the actual work.
    state.service_time = ServiceTime(settings_.service_time_window);
    state.responses = state.response_sum_ms = state.presumed_rejections = {};
  }
  const Duration smoothing_time_constant = state.smoothingTimeConstant(settings_, now);
  state.work_responses.add(1, now, kWorkChangeTimeConstant);
  state.responses.add(1, now, smoothing_time_constant);
  state.response_sum_ms.add(response_ms, now, smoothing_time_constant);
  state.service_time.add(response_ms, now);
}

ServiceLoad ServiceLoadEstimator::load(ServiceId service) const {
  const auto entry = states_.find(service);
  if (entry == states_.end()) {
    return {};
  }
  const State& state = entry->second;
  const MonotonicTime now = time_source_.monotonicTime();
  const double smoothing_time_constant_s =
      std::chrono::duration<double>(settings_.smoothing_time_constant).count();
  const double age_s = std::chrono::duration<double>(now - state.created_at).count();
  // Shortly after the start only a part of the smoothing period has been observed.
  const double observed_s =
      smoothing_time_constant_s * (1 - std::exp(-std::max(age_s, 0.1) / smoothing_time_constant_s));
  ServiceLoad load;
  load.requests_per_second =
      state.requests.valueAt(now, settings_.smoothing_time_constant) / observed_s;
  load.service_time = fromMilliseconds(state.service_time.valueMs(now));
  if (state.responses.valueAt(now, state.smoothingTimeConstant(settings_, now)) >=
      settings_.min_samples) {
    load.response_time = fromMilliseconds(state.meanResponseMs());
  }
  const Duration time_in_system =
      load.response_time.count() > 0 ? load.response_time : load.service_time;
  load.in_flight = load.requests_per_second * std::chrono::duration<double>(time_in_system).count();
  return load;
}

void ServiceLoadEstimator::retain(const ConfigurationView& configuration) {
  std::erase_if(states_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
}

}  // namespace lugfork
