#pragma once

#include <string>
#include <vector>

#include "common/result.h"
#include "sim/simulated_network.h"
#include "sim/work_order.h"

/** Input of a simulation: the fleet, its links and its calls. Read from TOML. */
namespace lugfork {

/** Error in an input file; the message is one line that names the file and the key. */
struct ScenarioError {
  std::string message;
};

/** Calls of one kind, started at a steady rate and in bursts. */
struct CallMix {
  std::string service;
  WorkOrder order;
  /** Mean rate of calls started at random times. */
  double rate_per_second = 1;
  /** Time between two bursts; zero disables bursts. */
  Duration burst_interval{};
  std::uint32_t burst_size = 0;
  /** Deadline of one call, relative to its start; zero means none. */
  Duration deadline{};
};

/** Fleet, links and calls of one simulation. */
struct Scenario {
  std::string name;
  /** Configuration document, as JSON text. */
  std::string configuration;
  std::uint32_t balancers_per_zone = 2;
  /** Number of replicas of the platform's services; each read goes to a random one. */
  std::uint32_t platform_replicas = 2;
  /** Time during which calls are started. */
  Duration duration = seconds(30);
  /** Time after that in which calls may end; no fault lasts longer. */
  Duration settle = seconds(40);
  /** Age of the fabric's information on the health of balancers. */
  Duration health_lag = milliseconds(300);
  /** Age of the platform's machine list. */
  Duration machine_list_lag = seconds(2);
  /** Largest difference between a machine's wall clock and true time. */
  Duration clock_skew = milliseconds(200);
  LinkSettings links;
  std::vector<CallMix> calls;
};

/** Reads a scenario; the path of the configuration is relative to the scenario file. */
Result<Scenario, ScenarioError> readScenario(const std::string& path);

}  // namespace lugfork
