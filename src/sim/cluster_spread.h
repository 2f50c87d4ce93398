#pragma once

#include <functional>

#include "sim/hollow_fleet.h"

/** Measures how fast knowledge spreads through a fleet of hollow nodes, and what that costs. */
namespace lugfork {

/** What is measured, and how the process's own costs are read. */
struct ClusterSpreadSettings {
  HollowFleetSettings fleet;
  /** Time for which the steady state is measured. */
  Duration steady = seconds(30);
  /** Time before it, in which the fleet joins. */
  Duration warm_up = seconds(30);
  /** @return processor time of this process, in seconds. */
  std::function<double()> processor_seconds;
  /** @return resident memory of this process, in bytes. */
  std::function<std::size_t()> resident_bytes;
};

/** Cost of control for one node and second. */
struct ControlCost {
  double bytes_sent_mean = 0;
  double bytes_sent_max = 0;
  double bytes_received_mean = 0;
  double bytes_received_max = 0;
  double messages_sent_mean = 0;
  double probes_mean = 0;
  double platform_reads_fleet = 0;
  /** Share of a core, codec and simulation included. */
  double processor_share = 0;
};

/** What nodes know of the back ends of their own zone, and of all others. */
struct LoadKnowledge {
  double zone_known_share = 0;
  double zone_age_seconds_mean = 0;
  double zone_age_seconds_p95 = 0;
  double fleet_known_share = 0;
};

/** Results; all times on the virtual clock, in seconds. */
struct ClusterSpreadResult {
  ControlCost steady;
  LoadKnowledge load;
  double change_first_seconds = 0;
  double change_all_seconds = 0;
  ControlCost during_change;
  double drain_all_seconds = 0;
  double leave_all_seconds = 0;
  double death_all_seconds = 0;
  std::uint64_t config_reverts = 0;
  std::uint64_t largest_message = 0;
  double resident_bytes_per_node = 0;
  /** What one real node pays for its own copy of the configuration. */
  double configuration_bytes = 0;
  double document_bytes = 0;
  double parse_seconds = 0;
  double delta_apply_seconds = 0;
  double assignment_seconds = 0;
};

/** Runs one fleet through all measurements. */
ClusterSpreadResult measureClusterSpread(const ClusterSpreadSettings& settings);

}  // namespace lugfork
