#pragma once

#include "sim/planned_maintenance.h"

namespace lugfork {

/** Injects the faults of a table into a fleet and records them for the checks. */
class FaultInjector {
 public:
  explicit FaultInjector(Fleet& fleet) : fleet_(fleet), planned_maintenance_(fleet) {}

  /** Schedules all faults; their times are relative to now. */
  void schedule(const std::vector<Fault>& faults);

 private:
  void begin(const Fault& fault);

  void kill(const Fault& fault);
  void pause(const Fault& fault);
  void holdOutput(const Fault& fault);
  void cut(const Fault& fault);
  void drain(const Fault& fault, bool notify_backend);
  void coldStart(const Fault& fault);
  void shed(const Fault& fault);
  void distortLoad(const Fault& fault);
  void platformOutage(const Fault& fault);
  void staleReplica(const Fault& fault);
  void configurationRace(const Fault& fault);
  void plannedStop(const Fault& fault);
  void rollingRestart(const Fault& fault);
  void lossyLinks(const Fault& fault);

  void recordOutage(BackendId backend, Duration duration);
  void recordIsolation(Duration duration);

  /** Runs the function that ends a fault after the duration; 0 makes the fault permanent. */
  void scheduleEnd(Duration duration, std::function<void()> function);
  std::vector<std::size_t> replicasOf(const Fault& fault) const;

  Fleet& fleet_;
  PlannedMaintenance planned_maintenance_;
};

}  // namespace lugfork
