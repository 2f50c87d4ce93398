#include "sim/cluster_spread.h"

#include <algorithm>
#include <numeric>

namespace lugfork {

namespace {

constexpr Duration kSpreadLimit = seconds(120);
constexpr Duration kChangeWindow = seconds(20);
/** Times an operation is repeated for its mean cost. */
constexpr int kRepetitions = 5;

double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** Sums and largest values of the counters of all nodes. */
class CostWindow {
 public:
  CostWindow(const HollowFleet& fleet, const std::function<double()>& processor_seconds)
      : fleet_(fleet),
        processor_seconds_(processor_seconds),
        processor_before_(processor_seconds()),
        started_at_(fleet.now()) {
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      before_.push_back(fleet.counters(index));
    }
  }

  ControlCost close() const {
    const double elapsed = toSeconds(fleet_.now() - started_at_);
    const auto nodes = static_cast<double>(fleet_.size());
    ControlCost cost;
    cost.processor_share = (processor_seconds_() - processor_before_) / nodes / elapsed;
    for (std::size_t index = 0; index < before_.size(); ++index) {
      const HollowNodeCounters& now = fleet_.counters(index);
      const HollowNodeCounters& before = before_[index];
      const double sent = static_cast<double>(now.bytes_sent - before.bytes_sent) / elapsed;
      const double received =
          static_cast<double>(now.bytes_received - before.bytes_received) / elapsed;
      cost.bytes_sent_mean += sent / nodes;
      cost.bytes_sent_max = std::max(cost.bytes_sent_max, sent);
      cost.bytes_received_mean += received / nodes;
      cost.bytes_received_max = std::max(cost.bytes_received_max, received);
      cost.messages_sent_mean +=
          static_cast<double>(now.messages_sent - before.messages_sent) / elapsed / nodes;
      cost.probes_mean += static_cast<double>(now.probes - before.probes) / elapsed / nodes;
      cost.platform_reads_fleet +=
          static_cast<double>(now.platform_reads - before.platform_reads) / elapsed;
    }
    return cost;
  }

 private:
  const HollowFleet& fleet_;
  const std::function<double()>& processor_seconds_;
  const double processor_before_;
  const MonotonicTime started_at_;
  std::vector<HollowNodeCounters> before_;
};

LoadKnowledge measureLoadKnowledge(const HollowFleet& fleet, const Configuration& configuration) {
  std::vector<double> ages;
  double zone_total = 0;
  double fleet_known = 0;
  const ConfigurationView view(configuration);
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    const Node& node = *fleet.node(index);
    const ZoneId zone = view.zoneNamed(fleet.zoneOf(index))->id;
    for (const Backend& backend : configuration.backends) {
      const BackendObservation* known = node.loadSpread().find(backend.id);
      fleet_known += known != nullptr ? 1 : 0;
      zone_total += backend.zone == zone ? 1 : 0;
      if (known != nullptr && backend.zone == zone) {
        const double age_ms = static_cast<double>(fleet.wallClockMilliseconds()) -
                              static_cast<double>(known->report.measured_at_ms);
        ages.push_back(age_ms / 1000);
      }
    }
  }
  LoadKnowledge knowledge;
  const double all = static_cast<double>(fleet.size() * configuration.backends.size());
  knowledge.fleet_known_share = fleet_known / all;
  if (ages.empty()) {
    return knowledge;
  }
  std::sort(ages.begin(), ages.end());
  knowledge.zone_known_share = static_cast<double>(ages.size()) / zone_total;
  knowledge.zone_age_seconds_mean =
      std::accumulate(ages.begin(), ages.end(), 0.0) / static_cast<double>(ages.size());
  knowledge.zone_age_seconds_p95 = ages[ages.size() * 95 / 100];
  return knowledge;
}

/** Costs of a node's own copy of the configuration, which hollow nodes share. */
void measureConfiguration(const ClusterSpreadSettings& settings, ClusterSpreadResult& result) {
  Configuration configuration = HollowFleet::makeConfiguration(settings.fleet);
  const std::string document = writeConfigurationDocument(configuration, SecretHandling::Include);
  result.document_bytes = static_cast<double>(document.size());
  const std::size_t resident = settings.resident_bytes();
  double started = settings.processor_seconds();
  ConfigurationStore store;
  store.offer(document);
  result.parse_seconds = settings.processor_seconds() - started;
  const ConfigurationView view(configuration);
  const std::size_t grown = settings.resident_bytes();
  // Two copies were built meanwhile: the store's and the one just above.
  result.configuration_bytes = grown > resident ? static_cast<double>(grown - resident) / 2 : 0;
  started = settings.processor_seconds();
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    const Backend& old = configuration.backends.front();
    const ResourceKey key{ResourceKind::Backend, old.id.value()};
    ResourceRecord record = *encodeResource(*store.inForce(), key);
    ConfigurationDelta delta{store.id(), store.id(), {record}, {}};
    delta.to.version = ConfigVersion(store.version().value() + 1);
    store.offerDelta(delta);
  }
  result.delta_apply_seconds = (settings.processor_seconds() - started) / kRepetitions;
  HollowFleet names(settings.fleet);
  std::vector<MemberRecord> live;
  for (std::size_t index = 1; index < names.size(); ++index) {
    MemberRecord member;
    member.name = HollowFleet::nodeName(index);
    member.zone = names.zoneOf(index);
    live.push_back(std::move(member));
  }
  MemberRecord self;
  self.name = HollowFleet::nodeName(0);
  self.zone = names.zoneOf(0);
  started = settings.processor_seconds();
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    static_cast<void>(
        assignProbes(view, self, live, settings.fleet.node.probes.probers_per_backend));
  }
  result.assignment_seconds = (settings.processor_seconds() - started) / kRepetitions;
}

void measureChange(HollowFleet& fleet, const ClusterSpreadSettings& settings,
                   ClusterSpreadResult& result) {
  Configuration changed = HollowFleet::makeConfiguration(settings.fleet);
  changed.version = ConfigVersion(2);
  changed.backends.back().draining = true;
  const CostWindow window(fleet, settings.processor_seconds);
  fleet.publish(changed);
  const auto first = [&fleet] { return fleet.anyHasVersion(ConfigVersion(2)); };
  const auto all = [&fleet] { return fleet.allHaveVersion(ConfigVersion(2)); };
  const Duration first_after = fleet.runUntil(first, kSpreadLimit);
  const Duration all_after = first_after + fleet.runUntil(all, kSpreadLimit);
  result.change_first_seconds = toSeconds(first_after);
  result.change_all_seconds = toSeconds(all_after);
  fleet.run(std::max(Duration(), kChangeWindow - all_after));
  result.during_change = window.close();
}

}  // namespace

ClusterSpreadResult measureClusterSpread(const ClusterSpreadSettings& settings) {
  ClusterSpreadResult result;
  measureConfiguration(settings, result);
  const Configuration configuration = HollowFleet::makeConfiguration(settings.fleet);
  HollowFleet fleet(settings.fleet);
  const std::size_t resident = settings.resident_bytes();
  fleet.startAll();
  fleet.introduceAll();
  fleet.run(settings.warm_up);
  const CostWindow steady(fleet, settings.processor_seconds);
  fleet.run(settings.steady);
  result.steady = steady.close();
  result.resident_bytes_per_node =
      static_cast<double>(settings.resident_bytes() - resident) / static_cast<double>(fleet.size());
  result.load = measureLoadKnowledge(fleet, configuration);
  measureChange(fleet, settings, result);
  const Backend& backend = configuration.backends.front();
  fleet.setDraining(backend.id);
  result.drain_all_seconds =
      toSeconds(fleet.runUntil([&] { return fleet.allKnowDraining(backend); }, kSpreadLimit));
  const std::size_t leaving = fleet.size() / 2;
  fleet.node(leaving)->startLeaving();
  result.leave_all_seconds = toSeconds(fleet.runUntil(
      [&] { return fleet.allBelieve(leaving, MemberState::Leaving); }, kSpreadLimit));
  const std::size_t dead = fleet.size() - 1;
  fleet.kill(dead);
  result.death_all_seconds = toSeconds(
      fleet.runUntil([&] { return fleet.allBelieve(dead, MemberState::Dead); }, kSpreadLimit));
  result.config_reverts = fleet.configurationReverts();
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    result.largest_message =
        std::max(result.largest_message, fleet.counters(index).largest_message);
  }
  return result;
}

}  // namespace lugfork
