#pragma once

#include <string>
#include <vector>

#include "sim/scenario.h"

/** Faults and planned changes of a simulation: read from a table or drawn as a random storm. */
namespace lugfork {

/** What happens. The names in fault tables are those of faultKindNames(), in this order. */
enum class FaultKind {
  /** A balancer or back end dies; it starts again after the duration, or never where it is 0. */
  Kill,
  /** A process stands still and then goes on with what has arrived meanwhile. */
  Pause,
  /** A balancer stands still between its checks and its sends: all it sends goes out late. */
  HoldOutput,
  /** Zones or processes can't reach each other; peer "*" stands for all other zones. */
  Cut,
  /** A back end is told to drain; the configuration says so too. */
  Drain,
  /** Only the configuration says that the back end drains. */
  DeclaredDrain,
  /** A back end starts again, and its work takes longer at first. */
  ColdStart,
  /** A back end refuses everything new. */
  Shed,
  /** A back end reports its load times factor, as of lag ago. */
  DistortLoad,
  /** Replicas of the platform don't answer; target is the replica's number or "*". */
  PlatformOutage,
  /** A replica answers with what was true before the fault began. */
  StaleReplica,
  /** A new version of the configuration, with nothing changed that matters to flows. */
  Publish,
  /** Two documents with the same version at different replicas. */
  ConfigurationRace,
  /** A balancer or back end is stopped in the way meant for it, and started again. */
  PlannedStop,
  /** All balancers (target "balancers"), or all back ends of a service, one after the other. */
  RollingRestart,
  /** Links lose and repeat datagrams with probability factor. */
  Loss,
  /** A zone is withdrawn from a service: target is the service, peer the zone. */
  WithdrawZone,
  Last = WithdrawZone,
};

/** One line of a fault table. */
struct Fault {
  Duration at{};
  FaultKind kind = FaultKind::Kill;
  /** Name of a balancer, back end, zone, service or replica, as the kind wants it. */
  std::string target;
  std::string peer;
  Duration duration{};
  bool one_way = false;
  double factor = 1;
  Duration lag{};
};

const std::vector<std::string>& faultKindNames();
const char* toString(FaultKind kind);

/** @return true for changes that operators or the platform make on purpose. */
bool isPlanned(FaultKind kind);

/** Reads a fault table and checks every target against the scenario. */
Result<std::vector<Fault>, ScenarioError> readFaultTable(const std::string& path,
                                                         const Scenario& scenario);

/**
 * Draws a storm: one, two or three kinds of fault together, over the scenario's duration. The
 * same seed gives the same storm.
 */
std::vector<Fault> drawStorm(const Scenario& scenario, std::uint64_t seed);

/** @return names of the scenario's balancers: zone-balancer-number. */
std::vector<std::string> balancerNames(const Scenario& scenario);

}  // namespace lugfork
