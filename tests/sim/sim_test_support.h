#pragma once

#include <catch2/catch.hpp>

#include "sim/simulation.h"

namespace lugfork::test {

inline std::string sourcePath(const std::string& path) {
  return std::string(LUGFORK_SOURCE_DIR) + "/" + path;
}

/** @return the scenario with that name. */
inline Scenario loadScenario(const std::string& user) {
  const auto scenario = readScenario(sourcePath("scenarios/" + user + ".toml"));
  if (!scenario) {
    FAIL(scenario.error().message);
  }
  return scenario.value();
}

inline std::vector<Fault> loadFaults(const std::string& table, const Scenario& scenario) {
  const auto faults = readFaultTable(sourcePath("scenarios/faults/" + table + ".toml"), scenario);
  if (!faults) {
    FAIL(faults.error().message);
  }
  return faults.value();
}

/** Runs a fault table with seeds 1 to seeds. @return the sum of all reports. */
inline PromiseReport runTable(const Scenario& scenario, const std::string& table,
                              FleetOptions options, std::uint64_t seeds) {
  const std::vector<Fault> faults = loadFaults(table, scenario);
  PromiseReport total;
  for (options.seed = 1; options.seed <= seeds; ++options.seed) {
    total.add(runSimulation(scenario, faults, options).report);
  }
  return total;
}

inline FleetOptions withRouter(RouterKind router) {
  FleetOptions options;
  options.router = router;
  return options;
}

}  // namespace lugfork::test
