#pragma once

#include <string>
#include <vector>

#include "common/result.h"
#include "sim/simulated_network.h"
#include "sim/work_order.h"

/** What a simulation runs: the fleet, its links and the calls made. Read from TOML. */
namespace lugfork {

/** What is wrong with an input file, in one line that names the file and the key. */
struct ScenarioError {
  std::string message;
};

/** Calls of one kind, begun at a steady rate and in bursts. */
struct CallMix {
  std::string service;
  WorkOrder order;
  /** Mean number of calls begun each second, at random times. */
  double rate_per_second = 1;
  /** Time between two bursts; zero for none. */
  Duration burst_interval{};
  std::uint32_t burst_size = 0;
  /** Time for one call; zero for no limit. */
  Duration deadline{};
};

/** Fleet, links and calls of one simulation. */
struct Scenario {
  std::string name;
  /** The users' configuration document, as JSON text. */
  std::string configuration;
  std::uint32_t balancers_per_zone = 2;
  /** Copies of the platform's services; each read goes to one at random. */
  std::uint32_t platform_replicas = 2;
  /** Calls are begun for this long. */
  Duration duration = seconds(30);
  /** Time after that in which calls may end; no fault lasts longer. */
  Duration settle = seconds(40);
  /** Age of what the fabric knows about a balancer's health. */
  Duration health_lag = milliseconds(300);
  /** Age of the platform's machine list. */
  Duration machine_list_lag = seconds(2);
  /** Largest difference between a machine's wall clock and the true time. */
  Duration clock_skew = milliseconds(200);
  LinkSettings links;
  std::vector<CallMix> calls;
};

/** Reads a scenario; the configuration's path is relative to the scenario file. */
Result<Scenario, ScenarioError> readScenario(const std::string& path);

}  // namespace lugfork
