#pragma once

#include <memory>
#include <string_view>

#include "load/service_load.h"

namespace lugfork {

/** What a balancer knows of a service when it judges how full the servers are. */
struct PressureInput {
  ServiceLoad load;
  /** Slots of all servers that may get new flows, wherever they are. */
  double usable_slots = 0;
  /** Balancers that callers reach, this one included. */
  double balancer_count = 1;
  /** Smallest target of the classes that ask for the service; zero where none is told. */
  Duration min_target{};
  /** The service has servers beyond the own zone; typical time of their answers, zero for unknown.
   */
  bool has_remote_backends = false;
  Duration remote_response_time{};
};

/**
 * @return true where servers beyond the own zone may have free slots: they answer clearly sooner,
 * or too few of their answers were seen. Flows then leave the zone, and none need be rejected.
 */
bool remoteBackendsMayHaveCapacity(const PressureInput& input);

/** Limits of a PressurePolicy. */
struct PressureSettings {
  /**
   * Requests for each slot: the slots stay busy between two arrivals, and callers wait for about
   * one other request.
   */
  double requests_per_slot = 2.2;
  /** Part of the smallest target that a request may wait: the rest is for its work and a retry. */
  double max_wait_fraction = 0.5;
  /** Least limit of requests for each slot, below which slots would often stand free. */
  double min_requests_per_slot = 1.5;
  /** Part of the slots that may be filled: arrivals are uneven, and a full queue must shrink. */
  double max_utilization = 0.95;
  /** Requests for each slot below which slots must be free, whatever answers take. */
  double free_requests_per_slot = 0.7;
  /** Requests within half a second that are needed: the rate is right to a fifth then. */
  double min_requests = 30;
};

/** @return requests for each slot up to which callers are served in time. */
double requestsPerSlotLimit(const PressureSettings& settings, const PressureInput& input);

/** Finds how far the load of a service is from its limit. */
class PressurePolicy {
 public:
  virtual ~PressurePolicy() = default;

  /** @return load over its limit: above 1 less should be admitted; 0 where too little is known. */
  virtual double pressure(const PressureInput& input) const = 0;
};

/** @return the policy with that name ("in_flight", "response_time", "share"), or nullptr for
 * another name. */
std::unique_ptr<PressurePolicy> makePressurePolicy(std::string_view name,
                                                   const PressureSettings& settings);

}  // namespace lugfork
