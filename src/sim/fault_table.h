#pragma once

#include <string>
#include <vector>

#include "sim/scenario.h"

/** Faults and planned changes of a simulation: read from a table or drawn at random (a storm). */
namespace lugfork {

/** Kinds of fault. Fault tables use the names of faultKindNames(), in this order. */
enum class FaultKind {
  /** A balancer or backend is killed; it restarts after the duration, or never if that is 0. */
  Kill,
  /** A process is paused; on resume it handles what has arrived in the meantime. */
  Pause,
  /** A balancer is paused between its checks and its sends: all its output is delayed. */
  HoldOutput,
  /** Zones or processes can't reach each other; peer "*" means all other zones. */
  Cut,
  /** A backend is set to draining, by itself and in the configuration. */
  Drain,
  /** A backend is draining in the configuration only; the backend itself isn't notified. */
  DeclaredDrain,
  /** A backend is killed and restarts after the duration; its work takes longer at first. */
  ColdStart,
  /** A backend refuses all new flows as overloaded. */
  Shed,
  /** A backend reports its load multiplied by factor and as of lag ago. */
  DistortLoad,
  /** Replicas of the platform don't answer; target is a replica's number or "*" for all. */
  PlatformOutage,
  /** A replica answers with its state from before the fault. */
  StaleReplica,
  /** A new configuration version is published, without changes that affect flows. */
  Publish,
  /** Two documents with the same version are published at different replicas. */
  ConfigurationRace,
  /** A balancer or backend is stopped gracefully and restarted. */
  PlannedStop,
  /** Graceful restart of all balancers (target "balancers") or all backends of a service. */
  RollingRestart,
  /** Links lose and duplicate datagrams, each with probability factor. */
  Loss,
  /** A zone is removed from the allowed zones of a service: target service, peer zone. */
  WithdrawZone,
  Last = WithdrawZone,
};

/** One line of a fault table. */
struct Fault {
  Duration at{};
  FaultKind kind = FaultKind::Kill;
  /** Name of a balancer, backend, zone, service or replica, depending on the kind. */
  std::string target;
  std::string peer;
  Duration duration{};
  bool one_way = false;
  double factor = 1;
  Duration lag{};
};

const std::vector<std::string>& faultKindNames();
const char* toString(FaultKind kind);

/** @return true for planned changes by operators or the platform. */
bool isPlanned(FaultKind kind);

/** Reads a fault table and validates every target against the scenario. */
Result<std::vector<Fault>, ScenarioError> readFaultTable(const std::string& path,
                                                         const Scenario& scenario);

/**
 * Draws a random fault schedule (a storm) that combines one to three kinds of fault over the
 * scenario's duration. The same seed gives the same schedule.
 */
std::vector<Fault> drawStorm(const Scenario& scenario, std::uint64_t seed);

/** @return the names of the scenario's balancers: <zone>-balancer-<number>. */
std::vector<std::string> balancerNames(const Scenario& scenario);

}  // namespace lugfork
