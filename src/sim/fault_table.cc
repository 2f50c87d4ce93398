#include "sim/fault_table.h"

#include <algorithm>

#include "config/configuration_document.h"
#include "sim/toml_reader.h"

namespace lugfork {

namespace {

constexpr std::uint32_t kMaxMilliseconds = 600000;

/** Valid names for the target of a fault. */
std::vector<std::string> targetsOf(FaultKind kind, const Scenario& scenario) {
  const auto parsed = parseConfigurationDocument(scenario.configuration);
  const Configuration& configuration = parsed.value();
  std::vector<std::string> balancers = balancerNames(scenario);
  std::vector<std::string> backends;
  std::vector<std::string> zones;
  std::vector<std::string> services;
  std::vector<std::string> replicas = {"*"};
  for (const Backend& backend : configuration.backends) {
    backends.push_back(backend.name);
  }
  for (const Zone& zone : configuration.zones) {
    zones.push_back(zone.name);
  }
  for (const Service& service : configuration.services) {
    services.push_back(service.name);
  }
  for (std::uint32_t replica = 0; replica < scenario.platform_replicas; ++replica) {
    replicas.push_back(std::to_string(replica));
  }
  std::vector<std::string> machines = balancers;
  machines.insert(machines.end(), backends.begin(), backends.end());
  switch (kind) {
    case FaultKind::Kill:
    case FaultKind::PlannedStop:
      return machines;
    case FaultKind::Pause:
      machines.emplace_back("callers");
      return machines;
    case FaultKind::HoldOutput:
      return balancers;
    case FaultKind::Cut:
      machines.insert(machines.end(), zones.begin(), zones.end());
      return machines;
    case FaultKind::Drain:
    case FaultKind::DeclaredDrain:
    case FaultKind::ColdStart:
    case FaultKind::Shed:
    case FaultKind::DistortLoad:
      return backends;
    case FaultKind::PlatformOutage:
    case FaultKind::StaleReplica:
      return replicas;
    case FaultKind::RollingRestart:
      services.emplace_back("balancers");
      return services;
    case FaultKind::WithdrawZone:
      return services;
    case FaultKind::Publish:
    case FaultKind::ConfigurationRace:
    case FaultKind::Loss:
      break;
  }
  return {};
}

std::vector<std::string> peersOf(FaultKind kind, const Scenario& scenario) {
  if (kind != FaultKind::Cut && kind != FaultKind::WithdrawZone) {
    return {};
  }
  std::vector<std::string> peers;
  const auto parsed = parseConfigurationDocument(scenario.configuration);
  for (const Zone& zone : parsed.value().zones) {
    peers.push_back(zone.name);
  }
  if (kind == FaultKind::Cut) {
    peers.emplace_back("*");
  }
  return peers;
}

Fault readFault(TomlReader& reader, const Scenario& scenario) {
  Fault fault;
  fault.kind = static_cast<FaultKind>(reader.choice("kind", faultKindNames()));
  fault.at = reader.milliseconds("at_ms", kMaxMilliseconds, {});
  const std::vector<std::string> targets = targetsOf(fault.kind, scenario);
  if (!targets.empty()) {
    fault.target = targets[reader.choice("target", targets)];
  }
  const std::vector<std::string> peers = peersOf(fault.kind, scenario);
  if (!peers.empty()) {
    fault.peer = peers[reader.choice("peer", peers)];
  }
  fault.duration = reader.milliseconds("for_ms", kMaxMilliseconds, {});
  fault.one_way = reader.boolean("one_way", false);
  fault.factor = reader.number("factor", 0, 100, 1);
  fault.lag = reader.milliseconds("lag_ms", 60000, {});
  reader.rejectUnknownKeys();
  return fault;
}

}  // namespace

const std::vector<std::string>& faultKindNames() {
  static const std::vector<std::string> kNames = {"kill",
                                                  "pause",
                                                  "hold_output",
                                                  "cut",
                                                  "drain",
                                                  "declared_drain",
                                                  "cold_start",
                                                  "shed",
                                                  "distort_load",
                                                  "platform_outage",
                                                  "stale_replica",
                                                  "publish",
                                                  "configuration_race",
                                                  "planned_stop",
                                                  "rolling_restart",
                                                  "loss",
                                                  "withdraw_zone"};
  return kNames;
}

const char* toString(FaultKind kind) {
  return faultKindNames()[static_cast<std::size_t>(kind)].c_str();
}

bool isPlanned(FaultKind kind) {
  switch (kind) {
    case FaultKind::Drain:
    case FaultKind::DeclaredDrain:
    case FaultKind::Publish:
    case FaultKind::PlannedStop:
    case FaultKind::RollingRestart:
    case FaultKind::WithdrawZone:
      return true;
    default:
      return false;
  }
}

Result<std::vector<Fault>, ScenarioError> readFaultTable(const std::string& path,
                                                         const Scenario& scenario) {
  try {
    const toml::table table = parseTomlFile(path);
    TomlReader reader(table, path, "");
    std::vector<Fault> faults;
    for (TomlReader& entry : reader.tables("faults")) {
      faults.push_back(readFault(entry, scenario));
    }
    reader.rejectUnknownKeys();
    return faults;
  } catch (const TomlReadError& error) {
    return ScenarioError{error.what()};
  }
}

std::vector<std::string> balancerNames(const Scenario& scenario) {
  std::vector<std::string> names;
  const auto parsed = parseConfigurationDocument(scenario.configuration);
  for (const Zone& zone : parsed.value().zones) {
    for (std::uint32_t number = 1; number <= scenario.balancers_per_zone; ++number) {
      names.push_back(zone.name + "-balancer-" + std::to_string(number));
    }
  }
  return names;
}

namespace {

/** Draws the faults of a storm. */
class StormGenerator {
 public:
  StormGenerator(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(makeSeededRandom(seed)) {}

  std::vector<Fault> draw() {
    const std::uint64_t kind_count = 1 + random_->below(3);
    std::vector<FaultKind> kinds;
    for (std::uint64_t index = 0; index < kind_count; ++index) {
      kinds.push_back(static_cast<FaultKind>(random_->below(kStormKinds)));
    }
    std::vector<Fault> faults;
    for (std::uint32_t round = 0; round < kRounds; ++round) {
      const Duration begin = between(scenario_.duration / 10, scenario_.duration);
      for (const FaultKind kind : kinds) {
        faults.push_back(drawOne(kind, begin + between(Duration(0), seconds(3))));
      }
    }
    return faults;
  }

 private:
  static constexpr std::uint32_t kRounds = 3;
  // All kinds except WithdrawZone, which ends established flows in the zone on purpose.
  static constexpr std::uint64_t kStormKinds = static_cast<std::uint64_t>(FaultKind::WithdrawZone);

  Fault drawOne(FaultKind kind, Duration at) {
    Fault fault;
    fault.at = at;
    fault.kind = kind;
    fault.target = pick(targetsOf(kind, scenario_));
    fault.peer = pick(peersOf(kind, scenario_));
    fault.duration = between(seconds(1), seconds(10));
    fault.one_way = random_->below(2) == 0;
    fault.factor = random_->below(2) == 0 ? 0 : 4;
    fault.lag = between(Duration(0), seconds(5));
    if (kind == FaultKind::Loss) {
      fault.factor = 0.05;
    }
    return fault;
  }

  std::string pick(const std::vector<std::string>& names) {
    return names.empty() ? std::string() : names[random_->below(names.size())];
  }

  Duration between(Duration min, Duration max) {
    const auto width = static_cast<std::uint64_t>((max - min).count());
    return min + Duration(random_->below(width));
  }

  const Scenario& scenario_;
  std::unique_ptr<RandomGenerator> random_;
};

}  // namespace

std::vector<Fault> drawStorm(const Scenario& scenario, std::uint64_t seed) {
  return StormGenerator(scenario, seed).draw();
}

}  // namespace lugfork
