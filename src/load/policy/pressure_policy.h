#pragma once

#include <memory>
#include <string_view>

#include "load/service_load.h"

namespace lugfork {

/** Observations of a service from which a PressurePolicy computes the pressure. */
struct PressureInput {
  ServiceLoad load;
  /** Slots of all backends that accept new flows, in all zones. */
  double usable_slots = 0;
  /** Number of balancers that clients reach, this one included. */
  double balancer_count = 1;
  /** Smallest response time target of the classes with demand; zero if there is none. */
  Duration min_target{};
  /**
   * Whether the service has backends in other zones, and their typical response time; zero if
   * unknown.
   */
  bool has_remote_backends = false;
  Duration remote_response_time{};
};

/**
 * @return true if backends in other zones may have free slots: their responses are clearly faster,
 * or too few were observed. Flows then leave the zone and none need be rejected.
 */
bool remoteBackendsMayHaveCapacity(const PressureInput& input);

/** Limits of a PressurePolicy. */
struct PressureSettings {
  /**
   * Requests per slot at the limit: slots stay busy between two arrivals, and clients wait for
   * about one other request.
   */
  double requests_per_slot = 2.2;
  /**
   * Fraction of the smallest target that a request may wait; the rest is for its work and a retry.
   */
  double max_wait_fraction = 0.5;
  /** Lower bound of the limit of requests per slot; below it slots would often be idle. */
  double min_requests_per_slot = 1.5;
  /** Fraction of the slots that may be busy: arrivals are uneven, and a full queue has to drain. */
  double max_utilization = 0.95;
  /** Requests per slot below which slots must be free, whatever the response times are. */
  double free_requests_per_slot = 0.7;
  /** Requests within half a second that are needed; the error of the rate is a fifth then. */
  double min_requests = 30;
};

/** @return requests per slot up to which clients are served in time. */
double requestsPerSlotLimit(const PressureSettings& settings, const PressureInput& input);

/** Computes how far the load of a service is from its limit. */
class PressurePolicy {
 public:
  virtual ~PressurePolicy() = default;

  /**
   * @return load relative to its limit: above 1 less should be admitted; 0 if too little is known.
   */
  virtual double pressure(const PressureInput& input) const = 0;
};

/**
 * @return the policy of that name ("in_flight", "response_time", "share"), or nullptr for another
 * name.
 */
std::unique_ptr<PressurePolicy> makePressurePolicy(std::string_view name,
                                                   const PressureSettings& settings);

}  // namespace lugfork
