#pragma once

#include <map>
#include <set>

#include "balancer/node.h"
#include "sim/simulated_network.h"

namespace lugfork {

/** Sizes and timing of a fleet of hollow nodes. */
struct InProcessFleetSettings {
  std::size_t nodes = 3;
  std::size_t backends = 19;
  std::size_t services = 2;
  std::size_t zones = 3;
  std::uint64_t seed = 1;
  Duration tick = milliseconds(100);
  LinkSettings links;
  /** Settings of each node, but for its name, zone and address. */
  NodeSettings node;
};

/** What one hollow node sent, all lives together. */
struct InProcessNodeCounters {
  std::uint64_t max_message_bytes = 0;
};

/**
 * Many real Nodes in one process on a virtual clock, with a platform and back ends that answer
 * probes; no data path. For tests of what nodes tell each other under faults.
 */
class InProcessFleet {
 public:
  explicit InProcessFleet(InProcessFleetSettings settings);
  ~InProcessFleet();

  /** @return a configuration of the sizes given, with version 1. */
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

  /** @return the node of this life; nullptr while it is dead. */
  Node* node(std::size_t index);
  const Node* node(std::size_t index) const;
  const InProcessNodeCounters& counters(std::size_t index) const;
  static std::string nodeName(std::size_t index);
  std::string zoneOf(std::size_t index) const;
  MonotonicTime now() const { return queue_.now(); }

  /** Publishes a configuration at the platform. */
  void publish(const Configuration& configuration);

  /** Makes one zone's reads of the platform see another text: a stale replica. */
  void setReplica(const std::string& zone, const std::string& text) { replicas_[zone] = text; }
  void clearReplicas() { replicas_.clear(); }
  const std::string& platformText() const { return platform_text_; }

  /** Lets a zone, or every zone where empty, reach the platform or not. */
  void setPlatformReachable(const std::string& zone, bool reachable);

  /** Cuts a zone off from all other zones, both ways. */
  void cutZone(const std::string& zone);
  void heal() { network_.healAll(); }
  SimulatedNetwork& network() { return network_; }

  /** The platform's machine list; all nodes at first. */
  std::vector<Machine>& machineList() { return machines_; }
  Machine machineOf(std::size_t index) const;

  /** Makes a back end answer probes as draining. */
  void setDraining(BackendId backend) { draining_.insert(backend); }

  /** @return true if all running nodes have that version in force. */
  bool allHaveVersion(ConfigVersion version) const;

  /** @return true if all running nodes believe that of the other node. */
  bool allReportState(std::size_t index, MemberState state) const;
  /** @return true if no running node places on the back end any more. */
  bool allExclude(const Backend& backend) const;
  /** @return times that a node's version in force went down within one life. */
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
