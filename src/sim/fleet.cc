#include "sim/fleet.h"

#include "config/configuration_document.h"

namespace lugfork {

namespace {

constexpr Duration kHealthInterval = milliseconds(100);
constexpr Duration kVersionInterval = milliseconds(20);
constexpr Duration kLoadSampleInterval = milliseconds(200);
constexpr Duration kProbeTimeout = milliseconds(500);
constexpr std::uint32_t kBalancerNetwork = 0x0a010000;  // 10.1.0.0
constexpr std::uint16_t kDataPort = 4000;
constexpr std::uint16_t kPeerPort = 4001;
constexpr std::uint16_t kApiPort = 4002;

ConfigurationViewPtr viewOf(const std::string& document) {
  return std::make_shared<const ConfigurationView>(parseConfigurationDocument(document).value());
}

std::string write(const Configuration& configuration) {
  return writeConfigurationDocument(configuration, SecretHandling::Include);
}

}  // namespace

Fleet::Fleet(const Scenario& scenario, const FleetOptions& options, Observations& observations)
    : scenario_(scenario),
      observations_(observations),
      random_(makeSeededRandom(options.seed)),
      network_(queue_, *random_, scenario.links),
      platform_(queue_, network_, *random_),
      fabric_(*random_, scenario.health_lag),
      clients_(queue_, "callers", kClientZone, Duration::zero()),
      view_(viewOf(scenario.configuration)) {
  const std::vector<std::string> zones = zoneNames();
  for (std::uint32_t replica = 0; replica < scenario.platform_replicas; ++replica) {
    platform_.add(zones[replica % zones.size()], scenario.configuration);
  }
  addBackends(options);
  addBalancers(scenario, options);
}

void Fleet::start() {
  for (const auto& backend : backends_) {
    backend->start(Duration::zero());
  }
  for (const auto& balancer : balancers_) {
    startBalancer(*balancer);
  }
  queue_.repeat(kHealthInterval, [this] {
    observeHealth();
    return true;
  });
  queue_.repeat(kVersionInterval, [this] {
    observeVersions();
    return true;
  });
  queue_.repeat(kLoadSampleInterval, [this] {
    sampleLoads();
    return true;
  });
}

SimulatedNode* Fleet::balancer(const std::string& name) {
  for (const auto& balancer : balancers_) {
    if (balancer->settings().name == name) {
      return balancer.get();
    }
  }
  return nullptr;
}

SimulatedBackend* Fleet::backend(const std::string& name) {
  for (const auto& backend : backends_) {
    if (backend->declared().name == name) {
      return backend.get();
    }
  }
  return nullptr;
}

void Fleet::startBalancer(SimulatedNode& balancer) {
  balancer.start();
  const NodeSettings& settings = balancer.settings();
  observations_.node_uptimes.emplace(settings.name, Interval{queue_.now(), MonotonicTime::max()});
  const Endpoint data_address = balancer.dataAddress();
  const Endpoint api_address{data_address.address, kApiPort};
  machines_[settings.name] = {settings.name,         settings.zone, data_address,
                              settings.peer_address, api_address,   false};
  updateMachineList();
}

void Fleet::killBalancer(SimulatedNode& balancer) {
  balancer.kill();
  const std::string& name = balancer.settings().name;
  // Uptimes of one name are in order: the last one ends here.
  std::prev(observations_.node_uptimes.upper_bound(name))->second.until = queue_.now();
  machines_.erase(name);
  updateMachineList();
}

void Fleet::beginLeaving(SimulatedNode& balancer) {
  balancer.node()->startLeaving();
  machines_[balancer.settings().name].leaving = true;
  updateMachineList();
}

void Fleet::publish(const std::function<void(Configuration&)>& change) {
  Configuration next = view_->document();
  next.version = ConfigVersion(next.version.value() + 1);
  change(next);
  const std::string document = write(next);
  for (std::size_t replica = 0; replica < platform_.size(); ++replica) {
    platform_.publish(replica, document);
  }
  view_ = std::make_shared<const ConfigurationView>(std::move(next));
  observations_.publications.push_back({view_->version().value(), queue_.now()});
}

void Fleet::publishConflict() {
  Configuration first = view_->document();
  first.version = ConfigVersion(first.version.value() + 1);
  Configuration second = first;
  ++second.backends.front().connections;
  platform_.publish(0, write(first));
  for (std::size_t replica = 1; replica < platform_.size(); ++replica) {
    platform_.publish(replica, write(second));
  }
  view_ = std::make_shared<const ConfigurationView>(std::move(second));
  observations_.publications.push_back({view_->version().value(), queue_.now()});
}

std::vector<std::string> Fleet::zoneNames() const {
  std::vector<std::string> names;
  for (const Zone& zone : view_->document().zones) {
    names.push_back(zone.name);
  }
  return names;
}

void Fleet::addBalancers(const Scenario& scenario, const FleetOptions& options) {
  NodeEnvironment& environment = *this;
  std::uint32_t host = kBalancerNetwork;
  for (const std::string& name : balancerNames(scenario)) {
    ++host;
    NodeSettings settings;
    settings.name = name;
    settings.zone = name.substr(0, name.find("-balancer-"));
    settings.peer_address = {host, kPeerPort};
    settings.placement_policy = options.placement_policy;
    settings.flow.placement_ttl = options.placement_lifetime;
    SimulatedProcess& process = addProcess(name, settings.zone);
    balancers_.push_back(std::make_unique<SimulatedNode>(settings, Endpoint{host, kDataPort},
                                                         process, network_, environment, log_,
                                                         random_->next(), options.router));
  }
}

void Fleet::addBackends(const FleetOptions& options) {
  for (const Backend& declared : view_->document().backends) {
    SimulatedProcess& process = addProcess(declared.name, view_->zone(declared.zone)->name);
    backends_.push_back(
        std::make_unique<SimulatedBackend>(declared, queue_, process, network_, observations_));
    backends_.back()->setPlacementLifetime(options.placement_lifetime);
    backends_by_id_[declared.id] = backends_.back().get();
  }
}

SimulatedProcess& Fleet::addProcess(const std::string& name, const std::string& zone) {
  processes_.push_back(std::make_unique<SimulatedProcess>(queue_, name, zone, randomSkew()));
  return *processes_.back();
}

Duration Fleet::randomSkew() {
  const double factor = 2 * random_->unit() - 1;
  return Duration(
      static_cast<std::int64_t>(factor * static_cast<double>(scenario_.clock_skew.count())));
}

void Fleet::updateMachineList() {
  std::vector<Machine> machines;
  for (const auto& [name, machine] : machines_) {
    machines.push_back(machine);
  }
  const bool at_start = queue_.executed() == 0;
  const Duration lag = at_start ? Duration::zero() : scenario_.machine_list_lag;
  queue_.scheduleAfter(lag,
                       [this, machines = std::move(machines)] { platform_.setMachines(machines); });
}

void Fleet::observeHealth() {
  std::vector<Endpoint> healthy;
  for (const auto& balancer : balancers_) {
    const Node* node = balancer->node();
    const bool answers = node != nullptr && !balancer->process().isPaused();
    if (answers && !node->isLeaving() && node->configuration().inForce() != nullptr) {
      healthy.push_back(balancer->dataAddress());
    }
  }
  fabric_.observe(queue_.now(), std::move(healthy));
}

void Fleet::observeVersions() {
  for (const auto& balancer : balancers_) {
    const Node* node = balancer->node();
    const bool has_version = node != nullptr && node->configuration().inForce() != nullptr;
    if (!has_version) {
      continue;
    }
    const std::uint64_t version = node->configuration().version().value();
    const std::string key =
        balancer->settings().name + "/" + std::to_string(balancer->process().generation());
    if (versions_seen_[key] != version) {
      versions_seen_[key] = version;
      observations_.versions.push_back({balancer->settings().name, version, queue_.now()});
    }
  }
}

void Fleet::sampleLoads() {
  for (const Service& service : view_->document().services) {
    LoadSample sample{service.id, {}};
    double sum = 0;
    for (const auto& backend : backends_) {
      const bool up = backend->model() != nullptr && !backend->process().isPaused();
      const Backend* declared = view_->backend(backend->declared().id);
      const bool takes_work = up && !backend->model()->report().draining && !declared->draining;
      if (takes_work && backend->declared().service == service.id) {
        sample.loads.push_back(static_cast<double>(backend->model()->openFlows()));
        sum += sample.loads.back();
      }
    }
    // With less than one flow per backend the ratio is dominated by chance, not by placement.
    if (!sample.loads.empty() && sum >= static_cast<double>(sample.loads.size())) {
      observations_.loads.push_back(std::move(sample));
    }
  }
}

void Fleet::readConfiguration(SimulatedProcess& reader,
                              std::function<void(const std::string&)> callback) {
  platform_.readConfiguration(reader, std::move(callback));
}

void Fleet::readMachines(SimulatedProcess& reader,
                         std::function<void(const std::vector<Machine>&)> callback) {
  platform_.readMachines(reader, std::move(callback));
}

void Fleet::probe(SimulatedProcess& prober, const Backend& backend,
                  std::function<void(const BackendReport&)> callback) {
  const auto found = backends_by_id_.find(backend.id);
  if (found == backends_by_id_.end()) {
    return;
  }
  SimulatedBackend& target = *found->second;
  const auto on_failure = [&prober, callback, id = backend.id] {
    BackendReport report;
    report.backend = id;
    report.measured_at_ms = toUnixMilliseconds(prober.timeSource().systemTime());
    callback(report);
  };
  network_.request<BackendReport>(
      prober, target.process(), kProbeTimeout, [&target] { return target.model()->report(); },
      callback, on_failure);
}

}  // namespace lugfork
