#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balancer/machine_list.h"
#include "cluster/configuration_sync.h"
#include "cluster/control_budget.h"
#include "cluster/join_controller.h"
#include "cluster/load_gossip.h"
#include "cluster/membership.h"
#include "cluster/probe_assignment.h"
#include "cluster/view_lease.h"
#include "common/event_log.h"
#include "config/configuration_store.h"
#include "flow/flow_router.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Actions that a Node requests from its environment. */
class NodeOutputs : public DatagramSender {
 public:
  virtual void sendPeerMessage(Endpoint peer, const PeerMessage& message) = 0;

  /** Reads the platform's configuration; the result is passed to onPlatformConfiguration. */
  virtual void readPlatformConfiguration() = 0;

  /** Reads the platform's machine list; the result is passed to onPlatformMachines. */
  virtual void readPlatformMachines() = 0;

  /** Probes health and load of a backend; the result is passed to onBackendReport. */
  virtual void probeBackend(const Backend& backend) = 0;
};

/** Identity and settings of a node. */
struct NodeSettings {
  std::string name;
  std::string zone;
  Endpoint peer_address;
  std::string placement_policy = "power_of_two";
  /** Interval between two messages that carry load reports to a peer. */
  Duration gossip_interval = milliseconds(500);
  /** Number of peers to which a change of state or configuration is sent immediately. */
  std::size_t push_fanout = 3;
  /** Budget of the gossip that the node sends [bytes/s]; it receives about as much. */
  std::size_t control_bytes_per_second = 1400;
  FlowRouterSettings flow;
  PlacementSettings placement;
  LoadEstimateSettings load;
  MembershipSettings membership;
  ConfigurationSyncSettings configuration;
  ViewLeaseSettings lease;
  JoinSettings join;
  ProbeSettings probes;
  LoadGossipSettings load_spread;
};

/** State of the node within the cluster. */
struct ClusterStatus {
  JoinState join = JoinState::Joining;
  ViewState view = ViewState::Stale;
  std::size_t live_members = 0;
  std::size_t known_members = 0;
  std::uint64_t configuration_conflicts = 0;
  /** Time since the request whose answer last confirmed the view. */
  Duration view_age{};

  /** @return true if the node places flows by a view that was not confirmed in time. */
  bool degraded() const { return join == JoinState::Degraded || view == ViewState::Degraded; }
};

/**
 * A balancer without sockets and clocks: inputs are calls, outputs go to NodeOutputs. Used by the
 * daemon, the simulator and cluster tests.
 */
class Node : private FlowRouterHost, private MembershipHost, private ConfigurationSyncHost {
 public:
  Node(NodeSettings settings, const TimeSource& time_source, RandomGenerator& random,
       NodeOutputs& outputs, EventLog& log);

  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  void onPeerMessage(Endpoint from, const PeerMessage& message);

  /** Handles the platform's configuration document as it was read. */
  void onPlatformConfiguration(const std::string& json_text);
  void onPlatformMachines(const std::vector<Machine>& machines);
  void onBackendReport(const BackendReport& report);

  /** Performs periodic work; to be called every 10 ms to 100 ms. */
  void onTick();

  /** Starts a planned stop: no new flows are placed, packets of open flows are still forwarded. */
  void startLeaving();

  bool isLeaving() const { return leaving_; }

  /** @return Reason::None if the node currently places new flows. */
  Reason placementBlockedBy() const override;

  ClusterStatus clusterStatus() const;
  const NodeSettings& settings() const { return settings_; }
  const ConfigurationStore& configuration() const { return store_; }
  const FlowCounters& flowCounters() const { return router_.counters(); }
  const BackendLoadTable& loads() const { return loads_; }
  const LoadGossip& loadSpread() const { return load_spread_; }
  const Membership& membership() const { return membership_; }
  const BackendProbeSchedule& probes() const { return probes_; }

 private:
  // FlowRouterHost
  void onNewerConfigurationSeen(ConfigVersion version) override;
  void onBackendDraining(BackendId backend) override;

  // MembershipHost
  void sendPing(Endpoint peer, std::uint64_t sequence, const MemberRecord* about) override;
  void sendPingAck(Endpoint peer, std::uint64_t sequence) override;
  void sendPingRequest(Endpoint via, std::uint64_t sequence, Endpoint target) override;
  void sendMembersRequest(Endpoint peer, std::uint32_t from_index) override;
  void onMemberChanged(const MemberRecord& member, MemberState previous) override;

  // ConfigurationSyncHost
  void sendConfigurationMessage(Endpoint peer, const PeerMessage& message) override;
  void readConfigurationFromPlatform() override;
  void onConfigurationAdopted() override;

  void handle(Endpoint from, const Ping& ping);
  void handle(Endpoint from, const PingAck& ack);
  void handle(Endpoint from, const PingRequest& request);
  void handle(Endpoint from, const GossipPush& push);
  void handle(Endpoint from, const MembersRequest& request);
  void handle(Endpoint from, const MembersReply& reply);
  void handle(Endpoint from, const ObservationsRequest& request);
  void handle(Endpoint from, const ObservationsReply& reply);
  void handle(Endpoint from, const ConfigurationRequest& request);
  void handle(Endpoint from, const ConfigurationDelta& delta);
  void handle(Endpoint from, const ConfigurationSummary& summary);
  void handle(Endpoint from, const BucketRequest& request);
  void handle(Endpoint from, const BucketReply& reply);

  void onGossip(Endpoint from, const GossipHeader& gossip);
  void onObservation(const BackendObservation& observation);
  GossipHeader makeGossip(const MemberRecord* about, ObservationScope scope);
  /** @return size that the budget leaves for additions to a message [bytes]. */
  std::size_t remainingBudget(const GossipHeader& gossip);
  ReceiverCounts audience() const;
  bool isSmallFleet() const;

  void confirmView(MonotonicTime now);

  /** Adopts the platform's first document once no peer is expected to have a newer one. */
  void adoptInitialDocument();
  void adoptPlatformDocument(const std::string& json_text);
  void pushUpdates();
  void gossipLoad(MonotonicTime now);
  void requestObservations(MonotonicTime now);
  void probe(MonotonicTime now);
  void updateAssignment(MonotonicTime now);

  const NodeSettings settings_;
  const TimeSource& time_source_;
  NodeOutputs& outputs_;
  EventLog& log_;
  ConfigurationStore store_;
  BackendLoadTable loads_;
  PlacementEngine placement_;
  FlowRouter router_;
  Membership membership_;
  ConfigurationSync configuration_;
  ViewLease lease_;
  JoinController join_;
  /** The platform's document, until it is clear that no peer has a newer one. */
  std::string initial_document_;
  ConfigVersion initial_document_version_;
  MonotonicTime next_token_prompted_read_at_;
  BackendProbeSchedule probes_;
  LoadGossip load_spread_;
  ControlBudget budget_;
  MonotonicTime next_gossip_at_;
  MonotonicTime next_confirmation_at_;
  MonotonicTime next_observations_at_;
  MonotonicTime next_assignment_at_;
  /** Time of the earliest unanswered read of the platform; unset if none is pending. */
  MonotonicTime platform_requested_at_;
  std::uint64_t assigned_generation_ = 0;
  ConfigurationId assigned_configuration_;
  bool push_pending_ = false;
  bool leaving_ = false;
};

}  // namespace lugfork
