#pragma once

#include <unordered_map>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** What one balancer has seen lately of a service, from the packets of its callers alone. */
struct ServiceLoad {
  /** Requests that went to the service through this balancer, a second. */
  double requests_per_second = 0;
  /** Typical time of an answer where nothing waits in a queue; zero where that is not known. */
  Duration service_time{};
  /** Typical time of the answers of the last moments; zero where there were too few. */
  Duration response_time{};
  /** Requests of this balancer that wait for their answer. */
  double in_flight = 0;

  /** @return requests that are present for each one that is worked on: 1 without a queue; 0 where
   * too little is known. */
  double requestsPerBusySlot() const;
};

/** Tunables of a ServiceLoadEstimator. */
struct ServiceLoadSettings {
  /** Time over which rates and response times are smoothed: some dozen answers of a weak balancer,
   * and a queue of a second's requests shows before callers' targets have passed. */
  Duration smoothing_time_constant = milliseconds(500);
  /** Time for which a short answer counts as evidence of the service time without a queue. */
  Duration service_time_window = seconds(30);
  /** Answers within the smoothing time that are needed before response times are believed. */
  double min_samples = 8;
};

/**
 * Estimates each service's rate of requests, its service time and its queue from requests that pass
 * and answers that are acknowledged. Needs no word of the servers. Bounded memory for a service.
 */
class ServiceLoadEstimator {
 public:
  ServiceLoadEstimator(ServiceLoadSettings settings, const TimeSource& time_source);
  ~ServiceLoadEstimator();

  /** A request's first data went to a server of the service. */
  void onRequest(ServiceId service);

  /** A caller has received the beginning of an answer, that long after it began to ask. */
  void onResponse(ServiceId service, Duration duration);

  /** @return what is known now; all zero for a service without requests. */
  ServiceLoad load(ServiceId service) const;

  /** Forgets services that are not known any more. */
  void retain(const ConfigurationView& configuration);

 private:
  struct State;

  State& stateOf(ServiceId service);

  const ServiceLoadSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
