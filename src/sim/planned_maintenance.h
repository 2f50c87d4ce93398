#pragma once

#include "sim/fleet.h"

namespace lugfork {

/**
 * What operators do to a fleet on purpose: drains, planned stops and restarts one after the other.
 * Recorded for the checks, since planned work must not break a flow.
 */
class PlannedMaintenance {
 public:
  explicit PlannedMaintenance(Fleet& fleet) : fleet_(fleet) {}

  /** @param told the back end itself knows that it drains. */
  void startDrain(SimulatedBackend& backend, bool notify_backend);
  /** Ends one drain of a back end; others of it may still be in force. */
  void endDrain(SimulatedBackend& backend);

  /** Stops a balancer as an operator would, and starts it again. @param done runs after that. */
  void stopBalancer(SimulatedNode& balancer, Duration down_time, const std::function<void()>& done);

  /** Drains a back end, waits until it is empty, stops it and starts it again. */
  void stopBackend(SimulatedBackend& backend, Duration down_time,
                   const std::function<void()>& done);

  /** Stops and starts balancers and back ends, each after the one before it is back. */
  void restartSequentially(std::vector<std::string> names, Duration down_time);

  /** Takes a zone out of those that a service allows. */
  void withdrawZone(const std::string& service, const std::string& zone);

 private:
  void stopWhenEmpty(SimulatedBackend& backend, std::uint64_t generation, std::size_t stop,
                     Duration down_time, const std::function<void()>& done);
  void declareDraining(BackendId backend, bool draining);

  Fleet& fleet_;
  std::map<BackendId, std::uint32_t> active_drains_;
};

}  // namespace lugfork
