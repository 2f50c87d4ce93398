#pragma once

#include "sim/fleet.h"

namespace lugfork {

/**
 * Planned maintenance of a fleet by its operators: drains, graceful stops and rolling restarts.
 * Recorded for the checks, because planned maintenance must not break a flow.
 */
class PlannedMaintenance {
 public:
  explicit PlannedMaintenance(Fleet& fleet) : fleet_(fleet) {}

  /** @param notify_backend also sets the backend itself to draining, not only the configuration. */
  void startDrain(SimulatedBackend& backend, bool notify_backend);
  /** Ends one drain of a backend; it drains until all its drains have ended. */
  void endDrain(SimulatedBackend& backend);

  /** Stops a balancer gracefully and restarts it. @param done runs after the restart. */
  void stopBalancer(SimulatedNode& balancer, Duration down_time, const std::function<void()>& done);

  /** Drains a backend, waits until it has no open flows, stops it and restarts it. */
  void stopBackend(SimulatedBackend& backend, Duration down_time,
                   const std::function<void()>& done);

  /** Restarts balancers and backends one by one, each after the previous one is running. */
  void restartSequentially(std::vector<std::string> names, Duration down_time);

  /** Removes a zone from the allowed zones of a service. */
  void withdrawZone(const std::string& service, const std::string& zone);

 private:
  void stopWhenEmpty(SimulatedBackend& backend, std::uint64_t generation, std::size_t stop,
                     Duration down_time, const std::function<void()>& done);
  void declareDraining(BackendId backend, bool draining);

  Fleet& fleet_;
  std::map<BackendId, std::uint32_t> active_drains_;
};

}  // namespace lugfork
