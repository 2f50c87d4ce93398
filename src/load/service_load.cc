#include "load/service_load.h"

#include <algorithm>
#include <cmath>

#include "load/service_time.h"

namespace lugfork {

namespace {

/**
 * An answer shorter than the usual one over this says that the request did not run: servers queue a
 * few requests for each slot, so one that ran at once takes more than a sixth of one that waited.
 */
constexpr double kRejectionPart = 6;
/** Answers of at least this part of the service time have run, however long others wait... */
constexpr double kWorkedPart = 0.7;
/** ...and shorter ones have not where the others take this multiple: they met full servers. */
constexpr double kQueuedFrom = 2;
/** Time and surplus over which answers that seem to be rejections show that work has changed. */
constexpr Duration kChangeWindow = seconds(5);
constexpr double kChangeSurplus = 20;
/** Service times over which slow answers are smoothed, so that a weak balancer sees some. */
constexpr int kSmoothedAnswers = 3;
/** Longest smoothing: callers that give up after a second or two must not pass unseen. */
constexpr Duration kLongestSmoothing = seconds(2);

double inMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration ofMilliseconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

/** Sum of which old parts fade. */
struct FadingSum {
  double value = 0;
  MonotonicTime at;

  double now(MonotonicTime time, Duration lifetime) const {
    const double age = static_cast<double>((time - at).count());
    return value * std::exp(-age / static_cast<double>(lifetime.count()));
  }
  void add(double amount, MonotonicTime time, Duration lifetime) {
    value = now(time, lifetime) + amount;
    at = time;
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
  explicit State(Duration memory, MonotonicTime now) : service_time(memory), since(now) {}

  ServiceTime service_time;
  MonotonicTime since;
  FadingSum requests;
  FadingSum answers;
  FadingSum answers_ms;
  FadingSum believed;
  FadingSum unbelieved;

  Duration smoothing(const ServiceLoadSettings& settings, MonotonicTime now) const {
    const Duration service = ofMilliseconds(service_time.valueMs(now));
    return std::clamp(kSmoothedAnswers * service, settings.smoothing,
                      std::max(settings.smoothing, kLongestSmoothing));
  }

  /** @return mean of the answers of the last moments [ms]; 0 without any. */
  double responseMs() const { return answers.value > 0 ? answers_ms.value / answers.value : 0; }

  bool isRejection(double answer_ms, MonotonicTime now) const {
    const double service_ms = service_time.valueMs(now);
    const double usual_ms = responseMs();
    if (service_ms <= 0 || usual_ms < kQueuedFrom * service_ms) {
      return answer_ms * kRejectionPart < std::max(service_ms, usual_ms);
    }
    return answer_ms < kWorkedPart * service_ms;
  }
};

ServiceLoadEstimator::ServiceLoadEstimator(ServiceLoadSettings settings,
                                           const TimeSource& time_source)
    : settings_(settings), time_source_(time_source) {}

ServiceLoadEstimator::~ServiceLoadEstimator() = default;

ServiceLoadEstimator::State& ServiceLoadEstimator::stateOf(ServiceId service) {
  const MonotonicTime now = time_source_.monotonicTime();
  return states_.try_emplace(service, settings_.service_time_memory, now).first->second;
}

void ServiceLoadEstimator::onRequest(ServiceId service) {
  stateOf(service).requests.add(1, time_source_.monotonicTime(), settings_.smoothing);
}

void ServiceLoadEstimator::onResponse(ServiceId service, Duration duration) {
  const MonotonicTime now = time_source_.monotonicTime();
  const double answer_ms = std::max(inMilliseconds(duration), 0.0);
  State& state = stateOf(service);
  if (state.isRejection(answer_ms, now)) {
    state.unbelieved.add(1, now, kChangeWindow);
    const double believed = state.believed.now(now, kChangeWindow);
    if (state.unbelieved.now(now, kChangeWindow) < kChangeSurplus * (1 + believed)) {
      return;
    }
    // Nearly all answers are that short: they are the work.
    state.service_time = ServiceTime(settings_.service_time_memory);
    state.answers = state.answers_ms = state.unbelieved = {};
  }
  const Duration smoothing = state.smoothing(settings_, now);
  state.believed.add(1, now, kChangeWindow);
  state.answers.add(1, now, smoothing);
  state.answers_ms.add(answer_ms, now, smoothing);
  state.service_time.add(answer_ms, now);
}

ServiceLoad ServiceLoadEstimator::load(ServiceId service) const {
  const auto found = states_.find(service);
  if (found == states_.end()) {
    return {};
  }
  const State& state = found->second;
  const MonotonicTime now = time_source_.monotonicTime();
  const double smoothing_s = std::chrono::duration<double>(settings_.smoothing).count();
  const double age_s = std::chrono::duration<double>(now - state.since).count();
  // A balancer that has just started has seen a part of the smoothing time only.
  const double seen_s = smoothing_s * (1 - std::exp(-std::max(age_s, 0.1) / smoothing_s));
  ServiceLoad load;
  load.requests_per_second = state.requests.now(now, settings_.smoothing) / seen_s;
  load.service_time = ofMilliseconds(state.service_time.valueMs(now));
  if (state.answers.now(now, state.smoothing(settings_, now)) >= settings_.samples_needed) {
    load.response_time = ofMilliseconds(state.responseMs());
  }
  const Duration present = load.response_time.count() > 0 ? load.response_time : load.service_time;
  load.in_flight = load.requests_per_second * std::chrono::duration<double>(present).count();
  return load;
}

void ServiceLoadEstimator::retain(const ConfigurationView& configuration) {
  std::erase_if(states_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
}

}  // namespace lugfork
