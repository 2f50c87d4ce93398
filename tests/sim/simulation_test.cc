#include "sim/sim_test_support.h"

namespace lugfork {

namespace {

/** A storm that violated a promise before its cause was fixed. */
struct RegressionSeed {
  const char* user;
  std::uint64_t seed;
  const char* cause;
};

const RegressionSeed kRegressionSeeds[] = {
    {"radio", 2, "a keepalive overtook the first piece while links lost datagrams"},
    {"radio", 4, "a backend got placements within the clock skew of its start"},
    {"radio", 16, "a backend was put back into service before it was ready"},
    {"radio", 29, "a keepalive overtook the first piece, held at a balancer"},
    {"veroapu", 23, "a keepalive overtook the first piece, held at a balancer"},
    {"veroapu", 35, "a backend was put back into service before it was ready"},
    {"veroapu", 76, "a client received nothing for 3 s after sending only five datagrams"},
    {"veroapu", 97, "a backend cut off from other zones received one datagram in three"},
    {"veroapu", 100, "keepalives were held at three balancers"},
};

SimulationResult runStorm(const std::string& user, std::uint64_t seed) {
  const Scenario scenario = test::loadScenario(user);
  FleetOptions options;
  options.seed = seed;
  return runSimulation(scenario, drawStorm(scenario, seed), options);
}

}  // namespace

TEST_CASE("same seed gives an identical trace") {
  const SimulationResult first = runStorm("radio", 5);
  const SimulationResult second = runStorm("radio", 5);
  CHECK(first.trace_digest == second.trace_digest);
  CHECK(first.events == second.events);
  CHECK(first.trace_digest != runStorm("radio", 6).trace_digest);
}

TEST_CASE("storms that violated a promise in the past no longer do") {
  for (const RegressionSeed& regression : kRegressionSeeds) {
    INFO(regression.user << " " << regression.seed << ": " << regression.cause);
    CHECK(runStorm(regression.user, regression.seed).report.holds());
  }
}

TEST_CASE("no storm of a fixed set violates a promise") {
  for (const char* user : {"radio", "veroapu"}) {
    for (std::uint64_t seed = 201; seed <= 208; ++seed) {
      INFO(user << " " << seed);
      CHECK(runStorm(user, seed).report.holds());
    }
  }
}

}  // namespace lugfork
