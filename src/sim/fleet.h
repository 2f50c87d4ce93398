#pragma once

#include <map>
#include <memory>

#include "sim/fabric_model.h"
#include "sim/fault_table.h"
#include "sim/platform_replicas.h"
#include "sim/simulated_backend.h"
#include "sim/simulated_node.h"

namespace lugfork {

/** Choices of one simulation that the scenario leaves open. */
struct FleetOptions {
  RouterKind router = RouterKind::Token;
  std::string placement_policy = "power_of_two";
  std::uint64_t seed = 1;
  /** Time in which a placement may start work; tests make it long to show what it is for. */
  Duration placement_lifetime = BackendModelSettings().placement_lifetime;
};

/** All machines of a scenario: balancers, back ends, platform and fabric, and their network. */
class Fleet : private NodeEnvironment {
 public:
  Fleet(const Scenario& scenario, const FleetOptions& options, Observations& observations);

  /** Starts all machines. */
  void start();

  EventQueue& queue() { return queue_; }
  SimulatedNetwork& network() { return network_; }
  RandomGenerator& random() { return *random_; }
  FabricModel& fabric() { return fabric_; }
  /** @return the process that all callers share. */
  SimulatedProcess& clients() { return clients_; }
  PlatformReplicas& platform() { return platform_; }
  Observations& observations() { return observations_; }

  /** @return the machine with that name, or nullptr. */
  SimulatedNode* balancer(const std::string& name);
  SimulatedBackend* backend(const std::string& name);

  const std::vector<std::unique_ptr<SimulatedNode>>& balancers() const { return balancers_; }
  const std::vector<std::unique_ptr<SimulatedBackend>>& backends() const { return backends_; }

  void startBalancer(SimulatedNode& balancer);
  /** Ends the process; the platform's list shows it after its lag. */
  void killBalancer(SimulatedNode& balancer);
  /** The platform's list shows the balancer as leaving after its lag; the fabric after its own. */
  void beginLeaving(SimulatedNode& balancer);

  /** @return the latest published configuration. */
  const ConfigurationView& configuration() const { return *view_; }

  /** Publishes the changed configuration with the next version at all replicas. */
  void publish(const std::function<void(Configuration&)>& change);

  /** Publishes one document at the first replica, and another of the same version at the rest. */
  void publishConflict();

  /** @return names of the zones that the configuration declares. */
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
  /** Machines as the platform will list them once its lag has passed. */
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::uint64_t> versions_seen_;
};

}  // namespace lugfork
