#include <unistd.h>
#include <ctime>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "programs/sim_commands.h"
#include "sim/cluster_spread.h"

namespace lugfork {

namespace {

using nlohmann::json;

/** The target size of letter 1; other sizes get their share of it. */
constexpr std::size_t kTargetNodes = 2700;
constexpr std::size_t kTargetBackends = 14000;
constexpr std::size_t kTargetServices = 9300;
constexpr std::size_t kTargetZones = 16;
/** Up to this many nodes the sizes of today are the default. */
constexpr std::size_t kSmallNodes = 3;
/** One way between machines of different zones, in fleets of several regions. */
constexpr Duration kBetweenRegions = milliseconds(15);

struct SpreadOptions {
  std::size_t nodes = kSmallNodes;
  std::size_t backends = 0;
  std::size_t services = 0;
  std::size_t zones = 0;
  std::uint64_t seconds = 30;
  std::uint64_t seed = 1;
  std::string format = "text";
};

double processorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t residentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

ClusterSpreadSettings makeSettings(const SpreadOptions& options) {
  const bool small = options.nodes <= kSmallNodes;
  const auto scaled = [&](std::size_t given, std::size_t today, std::size_t target) {
    const std::size_t share = std::max<std::size_t>(1, options.nodes * target / kTargetNodes);
    return given != 0 ? given : (small ? today : share);
  };
  ClusterSpreadSettings settings;
  settings.fleet.nodes = options.nodes;
  settings.fleet.backends = scaled(options.backends, 19, kTargetBackends);
  settings.fleet.services = scaled(options.services, 2, kTargetServices);
  settings.fleet.zones =
      options.zones != 0 ? options.zones : (options.nodes < 100 ? 3 : kTargetZones);
  settings.fleet.seed = options.seed;
  settings.fleet.share_configurations = true;
  settings.fleet.decode_messages = true;
  if (settings.fleet.zones > 3) {
    settings.fleet.links.between_zones = kBetweenRegions;
  }
  settings.steady = std::chrono::seconds(options.seconds);
  settings.processor_seconds = processorSeconds;
  settings.resident_bytes = residentBytes;
  return settings;
}

json costJson(const ControlCost& cost) {
  return {{"bytes_sent_per_second_mean", cost.bytes_sent_mean},
          {"bytes_sent_per_second_max", cost.bytes_sent_max},
          {"bytes_received_per_second_mean", cost.bytes_received_mean},
          {"bytes_received_per_second_max", cost.bytes_received_max},
          {"messages_sent_per_second_mean", cost.messages_sent_mean},
          {"probes_per_second_mean", cost.probes_mean},
          {"platform_reads_per_second_of_fleet", cost.platform_reads_fleet},
          {"processor_share_of_core", cost.processor_share}};
}

json resultJson(const ClusterSpreadSettings& settings, const ClusterSpreadResult& result) {
  json output = {{"nodes", settings.fleet.nodes},
                 {"backends", settings.fleet.backends},
                 {"services", settings.fleet.services},
                 {"zones", settings.fleet.zones},
                 {"seed", settings.fleet.seed},
                 {"change_first_seconds", result.change_first_seconds},
                 {"change_all_seconds", result.change_all_seconds},
                 {"drain_all_seconds", result.drain_all_seconds},
                 {"leave_all_seconds", result.leave_all_seconds},
                 {"death_all_seconds", result.death_all_seconds},
                 {"config_reverts", result.config_reverts},
                 {"largest_message_bytes", result.largest_message},
                 {"resident_bytes_per_node", result.resident_bytes_per_node}};
  output["steady"] = costJson(result.steady);
  output["during_change"] = costJson(result.during_change);
  output["load"] = {{"zone_known_share", result.load.zone_known_share},
                    {"zone_age_seconds_mean", result.load.zone_age_seconds_mean},
                    {"zone_age_seconds_p95", result.load.zone_age_seconds_p95},
                    {"fleet_known_share", result.load.fleet_known_share}};
  output["configuration"] = {{"document_bytes", result.document_bytes},
                             {"view_bytes", result.configuration_bytes},
                             {"parse_seconds", result.parse_seconds},
                             {"delta_apply_seconds", result.delta_apply_seconds},
                             {"probe_assignment_seconds", result.assignment_seconds}};
  return output;
}

int runSpread(const SpreadOptions& options) {
  const ClusterSpreadSettings settings = makeSettings(options);
  const json output = resultJson(settings, measureClusterSpread(settings));
  if (options.format == "json") {
    std::cout << output.dump() << "\n";
    return 0;
  }
  const json flat = output.flatten();
  for (const auto& [name, value] : flat.items()) {
    std::cout << name.substr(1) << ": " << value << "\n";
  }
  return 0;
}

}  // namespace

void addSpreadCommand(CLI::App& app, CommandBody& run) {
  const auto options = std::make_shared<SpreadOptions>();
  CLI::App* command =
      app.add_subcommand("spread", "how fast knowledge spreads in a fleet, and what it costs");
  command->add_option("--nodes", options->nodes, "balancers")->capture_default_str();
  command->add_option("--backends", options->backends, "back ends; 0 for the fleet's share");
  command->add_option("--services", options->services, "services; 0 for the fleet's share");
  command->add_option("--zones", options->zones, "zones; 0 for 3, or 16 from 100 nodes on");
  command->add_option("--seconds", options->seconds, "virtual seconds of steady state")
      ->capture_default_str();
  command->add_option("--seed", options->seed, "seed of all randomness")->capture_default_str();
  command->add_option("--format", options->format, "text or json")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  command->callback([options, &run] { run = [options] { return runSpread(*options); }; });
}

}  // namespace lugfork
