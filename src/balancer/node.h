#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/machine_list.h"
#include "common/event_log.h"
#include "config/configuration_store.h"
#include "flow/flow_router.h"
#include "wire/peer_message.h"

namespace lugfork {

/** What the node asks its surroundings to do. */
class NodeOutputs : public DatagramSender {
 public:
  virtual void sendPeerMessage(Endpoint peer, const PeerMessage& message) = 0;

  /** Asks for a read of the platform's configuration; the answer is onPlatformConfiguration. */
  virtual void readPlatformConfiguration() = 0;

  /** Asks for a read of the platform's machine list; the answer is onPlatformMachines. */
  virtual void readPlatformMachines() = 0;

  /** Asks for a health and load probe; the answer is onBackendReport. */
  virtual void probeBackend(const Backend& backend) = 0;
};

/** Who this node is and how it behaves. */
struct NodeSettings {
  std::string name;
  std::string zone;
  Endpoint peer_address;
  std::string placement_policy = "power_of_two";
  Duration gossip_interval = milliseconds(500);
  Duration platform_interval = seconds(1);
  Duration probe_interval = seconds(1);
  /** Longest time from the start after which the node places with what it has. */
  Duration join_limit = seconds(5);
  FlowRouterSettings flow;
  PlacementSettings placement;
  LoadEstimateSettings load;
};

/**
 * One balancer without its sockets and clocks: inputs come as calls, outputs go to NodeOutputs.
 * Runs in the daemon, in the simulator and, many to a process, as hollow node.
 */
class Node : private FlowRouterHost {
 public:
  Node(NodeSettings settings, const TimeSource& time_source, RandomGenerator& random,
       NodeOutputs& outputs, EventLog& log);

  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  void onPeerMessage(Endpoint from, const PeerMessage& message);

  /** Takes the platform's document as it was read. */
  void onPlatformConfiguration(const std::string& json_text);
  void onPlatformMachines(const std::vector<Machine>& machines);
  void onBackendReport(const BackendReport& report);

  /** Does what is due; to be called every 10 ms to 100 ms. */
  void onTick();

  /** Begins a planned stop: places nothing more, goes on relaying. */
  void startLeaving();

  bool isLeaving() const { return leaving_; }

  /** @return Reason::None if the node places new flows now. */
  Reason placementBlockedBy() const override;

  const NodeSettings& settings() const { return settings_; }
  const ConfigurationStore& configuration() const { return store_; }
  const FlowCounters& flowCounters() const { return router_.counters(); }
  const BackendLoadTable& loads() const { return loads_; }

 private:
  void onNewerConfigurationSeen(ConfigVersion version) override;
  void onBackendDraining(BackendId backend) override;

  void offerConfiguration(const std::string& json_text, const char* source);
  void gossip();
  void probe();
  void handle(Endpoint from, const Ping& ping);
  void handle(Endpoint from, const PingAck& ack);
  void handle(Endpoint from, const ConfigurationRequest& request);
  void handle(Endpoint from, const ConfigurationReply& reply);
  void onPeerVersion(Endpoint from, ConfigVersion version);

  const NodeSettings settings_;
  const NodeId id_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  NodeOutputs& outputs_;
  EventLog& log_;
  ConfigurationStore store_;
  BackendLoadTable loads_;
  PlacementEngine placement_;
  FlowRouter router_;
  std::vector<Machine> peers_;
  MonotonicTime next_gossip_;
  MonotonicTime next_platform_read_;
  MonotonicTime next_probe_;
  std::uint64_t ping_sequence_ = 0;
  bool leaving_ = false;
};

}  // namespace lugfork
