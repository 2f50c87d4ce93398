#include "sim/in_process_fleet.h"

#include <algorithm>

namespace lugfork {

namespace {

constexpr std::uint16_t kPeerPort = 7100;
constexpr std::uint32_t kNodeNetwork = 0x0a000000;
constexpr std::uint32_t kServiceNetwork = 0x0b000000;
constexpr std::uint32_t kBackendNetwork = 0x0c000000;
constexpr Duration kProbeDelay = milliseconds(2);
constexpr Duration kPlatformDelay = milliseconds(20);
constexpr Duration kStep = milliseconds(20);
constexpr std::size_t kRegions = 5;
/** Interval at which the reported load of a backend changes. */
constexpr std::uint64_t kLoadPeriodMilliseconds = 5000;

std::string zoneName(std::size_t index) {
  return "zone-" + std::to_string(index + 1);
}

std::uint64_t mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

/** One Node with its simulated process and its outputs. */
class InProcessFleet::InProcessNode : public NodeOutputs {
 public:
  InProcessNode(InProcessFleet& fleet, std::size_t index, NodeSettings settings)
      : fleet_(fleet),
        index_(index),
        settings_(std::move(settings)),
        process_(fleet.queue_, settings_.name, settings_.zone, Duration()),
        random_(makeSeededRandom(fleet.settings_.seed * 1000003 + index)) {
    fleet_.network_.attachPeers(
        settings_.peer_address, process_,
        [this](Endpoint from, const PeerMessage& message) { onPeerMessage(from, message); });
  }

  void start() {
    process_.start();
    node_ = std::make_unique<Node>(settings_, process_.timeSource(), *random_, *this, fleet_.log_);
    // A random phase keeps the nodes from ticking in lockstep.
    const auto tick = static_cast<std::uint64_t>(fleet_.settings_.tick.count());
    process_.runAfter(Duration(random_->below(tick)), [this] { onTick(); });
  }

  void kill() {
    process_.kill();
    node_.reset();
  }

  Node* node() { return node_.get(); }
  SimulatedProcess& process() { return process_; }
  const NodeSettings& settings() const { return settings_; }
  const InProcessNodeCounters& counters() const { return counters_; }

  void sendDatagram(Endpoint, const Datagram&) override {}

  void sendPeerMessage(Endpoint peer, const PeerMessage& message) override {
    const std::size_t bytes =
        fleet_.network_.sendPeerMessage(process_, settings_.peer_address, peer, message);
    counters_.max_message_bytes = std::max<std::uint64_t>(counters_.max_message_bytes, bytes);
  }

  void readPlatformConfiguration() override {
    process_.runAfter(kPlatformDelay, [this] {
      if (fleet_.platformReachable(settings_.zone)) {
        node_->onPlatformConfiguration(fleet_.platformTextFor(settings_.zone));
        recordVersion();
      }
    });
  }

  void readPlatformMachines() override {
    process_.runAfter(kPlatformDelay, [this] {
      if (fleet_.platformReachable(settings_.zone)) {
        node_->onPlatformMachines(fleet_.machines_);
      }
    });
  }

  void probeBackend(const Backend& backend) override {
    process_.runAfter(kProbeDelay, [this, backend] {
      node_->onBackendReport(fleet_.reportOf(backend, process_.timeSource()));
    });
  }

 private:
  void onTick() {
    node_->onTick();
    process_.runAfter(fleet_.settings_.tick, [this] { onTick(); });
  }

  void onPeerMessage(Endpoint from, const PeerMessage& message) {
    node_->onPeerMessage(from, message);
    recordVersion();
  }

  void recordVersion() { fleet_.recordVersion(index_, node_->configuration().version()); }

  InProcessFleet& fleet_;
  const std::size_t index_;
  const NodeSettings settings_;
  SimulatedProcess process_;
  std::unique_ptr<RandomGenerator> random_;
  std::unique_ptr<Node> node_;
  InProcessNodeCounters counters_;
};

InProcessFleet::InProcessFleet(InProcessFleetSettings settings)
    : settings_(std::move(settings)),
      random_(makeSeededRandom(settings_.seed)),
      network_(queue_, *random_, settings_.links),
      versions_(settings_.nodes) {
  for (std::size_t index = 0; index < settings_.nodes; ++index) {
    NodeSettings node = settings_.node;
    node.name = nodeName(index);
    node.zone = zoneName(index % settings_.zones);
    node.peer_address = {kNodeNetwork + static_cast<std::uint32_t>(index) + 1, kPeerPort};
    nodes_.push_back(std::make_unique<InProcessNode>(*this, index, std::move(node)));
    machines_.push_back(machineOf(index));
  }
  publish(makeConfiguration(settings_));
}

InProcessFleet::~InProcessFleet() = default;

Configuration InProcessFleet::makeConfiguration(const InProcessFleetSettings& settings) {
  Configuration configuration;
  configuration.version = ConfigVersion(1);
  configuration.system = "hollow";
  for (std::size_t index = 0; index < settings.zones; ++index) {
    const std::string region = "region-" + std::to_string(index % kRegions + 1);
    configuration.zones.push_back(
        {ZoneId(static_cast<std::uint16_t>(index + 1)), zoneName(index), region});
  }
  for (std::uint32_t index = 1; index <= settings.services; ++index) {
    Service service;
    service.id = ServiceId(index);
    service.name = "service-" + std::to_string(index);
    service.address = {kServiceNetwork + index, 443};
    for (const Zone& zone : configuration.zones) {
      if (zone.id.value() % 3 == index % 3 || settings.zones <= 3) {
        service.allowed_zones.push_back(zone.id);
      }
    }
    configuration.services.push_back(std::move(service));
  }
  for (std::uint32_t index = 1; index <= settings.backends; ++index) {
    Backend backend;
    backend.id = BackendId(index);
    backend.name = "backend-" + std::to_string(index);
    backend.service = ServiceId((index - 1) % static_cast<std::uint32_t>(settings.services) + 1);
    backend.zone = ZoneId(static_cast<std::uint16_t>((index - 1) % settings.zones + 1));
    backend.address = {kBackendNetwork + index, 443};
    backend.probe_address = {kBackendNetwork + index, 8080};
    backend.slots = 2;
    backend.connections = 2000;
    configuration.backends.push_back(std::move(backend));
  }
  TokenKey key;
  key.id = KeyId(1);
  key.secret.fill(0x5a);
  key.seals = true;
  configuration.keys.push_back(key);
  return configuration;
}

std::size_t InProcessFleet::size() const {
  return nodes_.size();
}

void InProcessFleet::start(std::size_t index) {
  versions_[index] = ConfigVersion();
  nodes_[index]->start();
}

void InProcessFleet::startAll() {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    start(index);
  }
}

void InProcessFleet::kill(std::size_t index) {
  nodes_[index]->kill();
}

void InProcessFleet::pause(std::size_t index) {
  nodes_[index]->process().pause();
}

void InProcessFleet::resume(std::size_t index) {
  nodes_[index]->process().resume();
}

Duration InProcessFleet::runUntil(const std::function<bool()>& condition, Duration limit) {
  const MonotonicTime start = queue_.now();
  while (!condition() && queue_.now() - start < limit) {
    queue_.runFor(kStep);
  }
  return queue_.now() - start;
}

Node* InProcessFleet::node(std::size_t index) {
  return nodes_[index]->node();
}

const Node* InProcessFleet::node(std::size_t index) const {
  return nodes_[index]->node();
}

const InProcessNodeCounters& InProcessFleet::counters(std::size_t index) const {
  return nodes_[index]->counters();
}

std::string InProcessFleet::nodeName(std::size_t index) {
  return "node-" + std::to_string(index + 1);
}

std::string InProcessFleet::zoneOf(std::size_t index) const {
  return nodes_[index]->settings().zone;
}

void InProcessFleet::publish(const Configuration& configuration) {
  platform_text_ = writeConfigurationDocument(configuration, SecretHandling::Include);
}

void InProcessFleet::setPlatformReachable(const std::string& zone, bool reachable) {
  for (std::size_t index = 0; index < settings_.zones; ++index) {
    const std::string name = zoneName(index);
    if (!zone.empty() && zone != name) {
      continue;
    }
    if (reachable) {
      cut_from_platform_.erase(name);
    } else {
      cut_from_platform_.insert(name);
    }
  }
}

void InProcessFleet::cutZone(const std::string& zone) {
  for (std::size_t index = 0; index < settings_.zones; ++index) {
    const std::string other = zoneName(index);
    if (other != zone) {
      network_.cut(zone, other);
      network_.cut(other, zone);
    }
  }
}

Machine InProcessFleet::machineOf(std::size_t index) const {
  const NodeSettings& settings = nodes_[index]->settings();
  Machine machine;
  machine.name = settings.name;
  machine.zone = settings.zone;
  machine.peer_address = settings.peer_address;
  return machine;
}

bool InProcessFleet::allHaveVersion(ConfigVersion version) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [version](const auto& node) {
    return node->node() == nullptr || node->node()->configuration().version() == version;
  });
}

bool InProcessFleet::allReportState(std::size_t index, MemberState state) const {
  const std::string name = nodeName(index);
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    const Node* node = nodes_[other]->node();
    if (other == index || node == nullptr) {
      continue;
    }
    const MemberRecord* member = node->membership().member(name);
    if (member == nullptr || member->state != state) {
      return false;
    }
  }
  return true;
}

bool InProcessFleet::allExclude(const Backend& backend) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&backend](const auto& node) {
    return node->node() == nullptr || !node->node()->loads().mayPlace(backend);
  });
}

bool InProcessFleet::platformReachable(const std::string& zone) const {
  return !cut_from_platform_.contains(zone);
}

const std::string& InProcessFleet::platformTextFor(const std::string& zone) const {
  const auto found = replicas_.find(zone);
  return found == replicas_.end() ? platform_text_ : found->second;
}

BackendReport InProcessFleet::reportOf(const Backend& backend,
                                       const TimeSource& time_source) const {
  BackendReport report;
  report.backend = backend.id;
  report.measured_at_ms = toUnixMilliseconds(time_source.systemTime());
  report.reachable = true;
  const std::uint64_t period = report.measured_at_ms / kLoadPeriodMilliseconds;
  const std::uint64_t noise = mix(period * 1000003 + backend.id.value());
  report.draining = draining_.contains(backend.id);
  report.open_connections = static_cast<std::uint32_t>(1000 + noise % 300);
  report.busy_slots = static_cast<std::uint32_t>(noise / 300 % 3);
  report.uptime_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(queue_.now().time_since_epoch()).count());
  return report;
}

void InProcessFleet::recordVersion(std::size_t index, ConfigVersion version) {
  reverts_ += version < versions_[index] ? 1 : 0;
  versions_[index] = version;
}

}  // namespace lugfork
