#include "sim/simulation.h"

namespace lugfork {

namespace {

constexpr Duration kStep = seconds(1);

}  // namespace

SimulationResult runSimulation(const Scenario& scenario, const std::vector<Fault>& faults,
                               const FleetOptions& options) {
  SimulationResult result;
  Fleet fleet(scenario, options, result.observations);
  CallGenerator calls(scenario, fleet);
  FaultInjector injector(fleet);
  fleet.start();
  calls.start();
  injector.schedule(faults);
  const MonotonicTime ends_at = fleet.queue().now() + scenario.duration + scenario.settle;
  while (fleet.queue().now() < ends_at && !calls.isDone()) {
    fleet.queue().runFor(kStep);
  }
  calls.recordUnfinished();
  for (auto& [name, life] : result.observations.node_uptimes) {
    life.until = std::min(life.until, fleet.queue().now());
  }
  result.report = checkPromises(result.observations);
  result.trace_digest = fleet.network().traceDigest();
  result.events = fleet.queue().executed();
  return result;
}

}  // namespace lugfork
