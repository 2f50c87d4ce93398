#pragma once

#include <unordered_map>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Recent load of a service as observed by one balancer, from clients' packets alone. */
struct ServiceLoad {
  /** Requests that were sent to the service through this balancer [1/s]. */
  double requests_per_second = 0;
  /** Typical response time without queueing; zero if unknown. */
  Duration service_time{};
  /** Typical recent response time; zero if there were too few responses. */
  Duration response_time{};
  /** Requests of this balancer that have no response yet. */
  double in_flight = 0;

  /**
   * @return outstanding requests per request that is being processed: 1 without queueing; 0 if too
   * little is known.
   */
  double requestsPerBusySlot() const;
};

/** Settings of ServiceLoadEstimator. */
struct ServiceLoadSettings {
  /**
   * Time constant of rates and response times. It covers about a dozen responses at a balancer with
   * little traffic, and a queue of one second's requests is detected before clients' deadlines
   * expire.
   */
  Duration smoothing_time_constant = milliseconds(500);
  /** Time for which a short response counts as evidence of the service time without queueing. */
  Duration service_time_window = seconds(30);
  /** Responses within the time constant that are needed to estimate the response time. */
  double min_samples = 8;
};

/**
 * Estimates the request rate, service time and queueing of each service from forwarded requests and
 * acknowledged responses. Needs no reports from backends. Memory per service is bounded.
 */
class ServiceLoadEstimator {
 public:
  ServiceLoadEstimator(ServiceLoadSettings settings, const TimeSource& time_source);
  ~ServiceLoadEstimator();

  /** Records that the first data of a request was forwarded to a backend of the service. */
  void onRequest(ServiceId service);

  /**
   * Records that a client has received the first data of a response.
   * @param duration time since the start of the request.
   */
  void onResponse(ServiceId service, Duration duration);

  /** @return the current estimate; all zero for a service without requests. */
  ServiceLoad load(ServiceId service) const;

  /** Removes services that are no longer configured. */
  void retain(const ConfigurationView& configuration);

 private:
  struct State;

  State& stateOf(ServiceId service);

  const ServiceLoadSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
