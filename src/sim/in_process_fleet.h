#pragma once

#include <map>
#include <set>

#include "balancer/node.h"
#include "sim/simulated_network.h"

namespace lugfork {

/** Settings of InProcessFleet. */
struct InProcessFleetSettings {
  std::size_t nodes = 3;
  std::size_t backends = 19;
  std::size_t services = 2;
  std::size_t zones = 3;
  std::uint64_t seed = 1;
  Duration tick = milliseconds(100);
  LinkSettings links;
  /** Settings of each node, except its name, zone and address. */
  NodeSettings node;
};

/** Counters of one node over all its incarnations. */
struct InProcessNodeCounters {
  std::uint64_t max_message_bytes = 0;
};

/**
 * Many Nodes in one process without sockets, on a virtual clock, with a platform and backends that
 * answer probes; no data path. Used to test the exchange between nodes under faults.
 */
class InProcessFleet {
 public:
  explicit InProcessFleet(InProcessFleetSettings settings);
  ~InProcessFleet();

  /** @return a configuration with the given numbers of items and version 1. */
  static Configuration makeConfiguration(const InProcessFleetSettings& settings);

  std::size_t size() const;
  void start(std::size_t index);
  void startAll();

  void kill(std::size_t index);
  void pause(std::size_t index);
  void resume(std::size_t index);
  void run(Duration duration) { queue_.runFor(duration); }

  /** Runs in small steps until the condition holds. @return the time it took, or the limit. */
  Duration runUntil(const std::function<bool()>& condition, Duration limit);

  /** @return the running node; nullptr while its process is killed. */
  Node* node(std::size_t index);
  const Node* node(std::size_t index) const;
  const InProcessNodeCounters& counters(std::size_t index) const;
  static std::string nodeName(std::size_t index);
  std::string zoneOf(std::size_t index) const;
  MonotonicTime now() const { return queue_.now(); }

  /** Publishes a configuration at the platform. */
  void publish(const Configuration& configuration);

  /** Makes platform reads of one zone return another text, as from a stale replica. */
  void setReplica(const std::string& zone, const std::string& text) { replicas_[zone] = text; }
  void clearReplicas() { replicas_.clear(); }
  const std::string& platformText() const { return platform_text_; }

  /** Sets whether a zone can reach the platform; an empty name means every zone. */
  void setPlatformReachable(const std::string& zone, bool reachable);

  /** Cuts the links between a zone and all other zones, in both directions. */
  void cutZone(const std::string& zone);
  void heal() { network_.healAll(); }
  SimulatedNetwork& network() { return network_; }

  /** @return the platform's machine list; it initially contains all nodes. */
  std::vector<Machine>& machineList() { return machines_; }
  Machine machineOf(std::size_t index) const;

  /** Makes a backend answer probes as draining. */
  void setDraining(BackendId backend) { draining_.insert(backend); }

  /** @return true if that version is in force on all running nodes. */
  bool allHaveVersion(ConfigVersion version) const;

  /** @return true if all other running nodes have the node in that state. */
  bool allReportState(std::size_t index, MemberState state) const;
  /** @return true if all running nodes exclude the backend from placement. */
  bool allExclude(const Backend& backend) const;
  /** @return how often a node's version in force went down within one incarnation. */
  std::uint64_t configurationReverts() const { return reverts_; }

 private:
  class InProcessNode;

  bool platformReachable(const std::string& zone) const;
  const std::string& platformTextFor(const std::string& zone) const;
  BackendReport reportOf(const Backend& backend, const TimeSource& time_source) const;
  void recordVersion(std::size_t index, ConfigVersion version);

  const InProcessFleetSettings settings_;
  EventQueue queue_;
  std::unique_ptr<RandomGenerator> random_;
  SimulatedNetwork network_;
  NullEventLog log_;
  std::vector<std::unique_ptr<InProcessNode>> nodes_;
  std::vector<Machine> machines_;
  std::string platform_text_;
  std::map<std::string, std::string> replicas_;
  std::set<std::string> cut_from_platform_;
  std::set<BackendId> draining_;
  std::vector<ConfigVersion> versions_;
  std::uint64_t reverts_ = 0;
};

}  // namespace lugfork
