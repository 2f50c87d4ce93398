#pragma once

#include "sim/fleet.h"

namespace lugfork {

/** Makes the faults of a table happen in a fleet, and records them for the checks. */
class FaultInjector {
 public:
  explicit FaultInjector(Fleet& fleet) : fleet_(fleet) {}

  /** Schedules all faults; their times count from now. */
  void schedule(const std::vector<Fault>& faults);

 private:
  void begin(const Fault& fault);

  void kill(const Fault& fault);
  void pause(const Fault& fault);
  void holdOutput(const Fault& fault);
  void cut(const Fault& fault);
  void drain(const Fault& fault, bool told);
  void coldStart(const Fault& fault);
  void shed(const Fault& fault);
  void distortLoad(const Fault& fault);
  void platformOutage(const Fault& fault);
  void staleReplica(const Fault& fault);
  void configurationRace(const Fault& fault);
  void plannedStop(const Fault& fault);
  void rollingRestart(const Fault& fault);
  void lossyLinks(const Fault& fault);
  void withdrawZone(const Fault& fault);

  /** Stops a balancer as an operator would, and starts it again. @param done runs after that. */
  void stopBalancer(SimulatedNode& balancer, Duration down_time, const std::function<void()>& done);

  /** Drains a back end, waits until it is empty, stops it and starts it again. */
  void stopBackend(SimulatedBackend& backend, Duration down_time,
                   const std::function<void()>& done);
  void stopWhenEmpty(SimulatedBackend& backend, std::uint64_t generation, std::size_t stop,
                     Duration down_time, const std::function<void()>& done);
  void restartOneAfterTheOther(std::vector<std::string> names, Duration down_time);

  void startDrain(SimulatedBackend& backend, bool told);
  void endDrain(SimulatedBackend& backend);
  void declareDraining(BackendId backend, bool draining);
  void recordOutage(BackendId backend, Duration duration);
  void recordIsolation(Duration duration);

  /** Runs a function after the duration, unless that is 0: then the fault stays. */
  void after(Duration duration, std::function<void()> function);
  std::vector<std::size_t> replicasOf(const Fault& fault) const;

  Fleet& fleet_;
  std::map<BackendId, std::uint32_t> drains_in_force_;
};

}  // namespace lugfork
