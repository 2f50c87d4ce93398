#pragma once

#include <map>
#include <memory>

#include "sim/fabric_model.h"
#include "sim/fault_table.h"
#include "sim/platform_replicas.h"
#include "sim/simulated_backend.h"
#include "sim/simulated_node.h"

namespace lugfork {

/** Options of one simulation that aren't part of the scenario. */
struct FleetOptions {
  RouterKind router = RouterKind::Token;
  std::string placement_policy = "power_of_two";
  std::uint64_t seed = 1;
  /** Time in which a placement may start work; tests disable the limit with a long time. */
  Duration placement_lifetime = BackendModelSettings().placement_lifetime;
};

/** All machines of a scenario: balancers, backends, platform and fabric, and their network. */
class Fleet : private NodeEnvironment {
 public:
  Fleet(const Scenario& scenario, const FleetOptions& options, Observations& observations);

  /** Starts all machines. */
  void start();

  EventQueue& queue() { return queue_; }
  SimulatedNetwork& network() { return network_; }
  RandomGenerator& random() { return *random_; }
  FabricModel& fabric() { return fabric_; }
  /** @return the process shared by all clients. */
  SimulatedProcess& clients() { return clients_; }
  PlatformReplicas& platform() { return platform_; }
  Observations& observations() { return observations_; }

  /** @return the balancer with that name, or nullptr. */
  SimulatedNode* balancer(const std::string& name);
  SimulatedBackend* backend(const std::string& name);

  const std::vector<std::unique_ptr<SimulatedNode>>& balancers() const { return balancers_; }
  const std::vector<std::unique_ptr<SimulatedBackend>>& backends() const { return backends_; }

  void startBalancer(SimulatedNode& balancer);
  /** Kills the process; the platform's machine list reflects it after its lag. */
  void killBalancer(SimulatedNode& balancer);
  /** Marks the balancer as leaving; the machine list and the fabric reflect it after their lags. */
  void beginLeaving(SimulatedNode& balancer);

  /** @return the latest published configuration. */
  const ConfigurationView& configuration() const { return *view_; }

  /** Publishes the changed configuration with the next version at all replicas. */
  void publish(const std::function<void(Configuration&)>& change);

  /** Publishes a document at the first replica and a different one of that version at the rest. */
  void publishConflict();

  /** @return the names of the zones declared in the configuration. */
  std::vector<std::string> zoneNames() const;

 private:
  void addBalancers(const Scenario& scenario, const FleetOptions& options);
  void addBackends(const FleetOptions& options);
  SimulatedProcess& addProcess(const std::string& name, const std::string& zone);
  Duration randomSkew();
  void updateMachineList();
  void observeHealth();
  void observeVersions();
  void sampleLoads();

  void readConfiguration(SimulatedProcess& reader,
                         std::function<void(const std::string&)> callback) override;
  void readMachines(SimulatedProcess& reader,
                    std::function<void(const std::vector<Machine>&)> callback) override;
  void probe(SimulatedProcess& prober, const Backend& backend,
             std::function<void(const BackendReport&)> callback) override;

  const Scenario& scenario_;
  Observations& observations_;
  EventQueue queue_;
  std::unique_ptr<RandomGenerator> random_;
  SimulatedNetwork network_;
  PlatformReplicas platform_;
  FabricModel fabric_;
  SimulatedProcess clients_;
  NullEventLog log_;
  ConfigurationViewPtr view_;
  std::vector<std::unique_ptr<SimulatedProcess>> processes_;
  std::vector<std::unique_ptr<SimulatedNode>> balancers_;
  std::vector<std::unique_ptr<SimulatedBackend>> backends_;
  std::map<BackendId, SimulatedBackend*> backends_by_id_;
  /** Machines as the platform lists them once its lag has passed. */
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::uint64_t> versions_seen_;
};

}  // namespace lugfork
