#pragma once

#include "sim/call_generator.h"
#include "sim/fault_injector.h"
#include "sim/promise_checker.h"

/** One run of a scenario under faults on a virtual clock; see docs/design/0003. */
namespace lugfork {

/** Result of one simulation. */
struct SimulationResult {
  Observations observations;
  PromiseReport report;
  /** Hash of all messages sent; the same inputs give the same hash. */
  std::uint64_t trace_digest = 0;
  std::uint64_t events = 0;
};

/** Runs a scenario with the given faults. Deterministic for the same arguments. */
SimulationResult runSimulation(const Scenario& scenario, const std::vector<Fault>& faults,
                               const FleetOptions& options);

}  // namespace lugfork
