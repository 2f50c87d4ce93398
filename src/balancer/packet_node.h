#pragma once

#include <map>
#include <string>

#include "balancer/control_work_meter.h"
#include "common/event_log.h"
#include "common/scheduler.h"
#include "discovery/backend_registry.h"
#include "discovery/view_follower.h"
#include "flow/evidence_reporter.h"
#include "flow/packet_router.h"
#include "flow/service_pressure.h"
#include "load/load_control.h"
#include "load/zone_demand.h"

namespace lugfork {

/** What a balancer makes of what it observes in packets; each can be switched off to measure it. */
struct ObservationUses {
  /** Back ends that do not seem to answer get no new flows. */
  bool pass_over_suspects = true;
  /** Open flows of back ends that are surely dead are reset. */
  bool reset_dead = true;
  /** Back ends that answer slowly get fewer new flows. */
  bool weigh_by_speed = true;
  /** Load is estimated by requests in flight. */
  bool count_in_flight = true;
  /** What other balancers of the zone have seen of silent servers counts too. */
  bool share_evidence = false;
  /** New flows leave the own zone by what its callers ask, before answers come late. */
  bool overflow_by_demand = false;
};

/** Who this balancer is and how it behaves. */
struct PacketNodeSettings {
  std::string name;
  std::string zone;
  CompactTokenKey token_key{};
  std::string placement_policy = "bounded_rendezvous";
  FlowObserverSettings observer;
  /** Time for which a server that is gone from the platform stays reachable for open flows. */
  Duration retired_for = seconds(90);
  /** Time for which changes of back ends are collected before they come into force. */
  Duration apply_delay = milliseconds(5);
  FlowDeciderSettings decider;
  PlacementSettings placement;
  ObservationUses uses;
  SilenceSettings silence;
  SharedEvidenceSettings evidence;
  ResponseTimeSettings response_times;
  /** Its weights are taken from the placement's. */
  LocalitySettings locality;
  LoadEstimateSettings load;
  LoadControlSettings load_control;
  ZoneDemandSettings zone_demand;
  ColdServerLimitSettings cold_servers;
  ViewFollowerSettings follower;
};

/** Where a platform keeps routes and servers, and how it writes them. */
struct PlatformLayout {
  /** Prefix of all keys that matter: one view holds them all. */
  std::string prefix;
  /** Prefix of servers. */
  std::string endpoints_prefix;
  /** Prefix of what the operator writes: routes, and which zones are out of service. */
  std::string documents_prefix;
  const RecordDecoder& decoder;
};

/** Counts of the node beside the data path. */
struct PacketNodeCounters {
  /** Records that can't be used, by the cause; the causes are texts of this program. */
  std::map<std::string, std::uint64_t> records_invalid;
  std::uint64_t configurations_applied = 0;
};

/**
 * One balancer for packets with compact tokens, without its sockets and clocks: follows the
 * platform's routes and servers and routes packets by them.
 */
class PacketNode : private PacketRouterHost, private ViewFollowerHost, private ServicePressure {
 public:
  PacketNode(PacketNodeSettings settings, const PlatformLayout& layout, ItemSource& source,
             PacketSender& sender, Scheduler& scheduler, const TimeSource& time_source,
             RandomGenerator& random, EventLog& log);

  /** Starts to follow the platform. */
  void start();

  void onPacket(const FlowPacket& packet) { router_.onPacket(packet); }

  /** @return true once routes and servers are known whole. */
  bool isComplete() const;

  /** Begins a planned stop: the node is not ready any more but forwards as before. */
  void startLeaving();

  /** @return true where callers may be sent here. */
  bool isReady() const { return isComplete() && !leaving_; }
  bool isLeaving() const { return leaving_; }

  /** Sets what is called once, when the node becomes complete. */
  void setCompletionCallback(std::function<void()> callback) { on_complete_ = std::move(callback); }

  /** Sets what is called once, when others may be told of this node's view. */
  void setCaughtUpCallback(std::function<void()> callback) { on_caught_up_ = std::move(callback); }

  /** Sets what tells which cold servers belong to this balancer. */
  void setIsOwner(ColdServerLimit::IsOwner is_owner) {
    cold_limit_.setIsOwner(std::move(is_owner));
  }

  /** Sets what tells the number of balancers, this one included; without it, this is the only one.
   */
  void setFleetSize(std::function<double()> fleet_size) { fleet_size_ = std::move(fleet_size); }

  /** Sets what is called with the duration of each handshake that ends here. */
  void setHandshakeCallback(std::function<void(Duration)> callback) {
    on_handshake_ = std::move(callback);
  }

  /** Sets what is called with the time of each answer that begins here. */
  void setResponseCallback(std::function<void(Duration)> callback) {
    on_response_ = std::move(callback);
  }

  /**
   * Sets what tells whether changes come from the platform itself. Of a crowd of changes only such
   * nodes log each server: 986 nodes wrote 260 lines each while 10,000 servers started.
   */
  void setReadsPlatform(std::function<bool()> reads_platform) {
    reads_platform_ = std::move(reads_platform);
  }

  /** Sets the clock by which control work is measured. */
  void setProcessorClock(const CpuClock& clock) { work_.setClock(clock); }
  const ControlWorkMeter& controlWork() const { return work_; }

  /** @return what others report of silent servers; an EvidenceExchange feeds it. */
  SharedEvidence& sharedEvidence() { return evidence_; }
  const SharedEvidence& sharedEvidence() const { return evidence_; }
  EvidenceReporter& evidenceReporter() { return reporter_; }
  /**
   * To be called when this node was late: it stood still, or a packet has waited in its socket.
   * What it saw up to now counts as nobody's silence. Cheap, also for each packet.
   */
  void onBehind();

  /** @return number of servers that look silent by what this node itself has seen. */
  std::size_t suspectsBySelf() const { return silence_.observations().size(); }

  const PacketCounters& packetCounters() const { return router_.counters(); }
  const PacketNodeCounters& counters() const { return counters_; }
  const LocalityRouter& locality() const { return locality_; }
  const LoadControl& loadControl() const { return load_control_; }
  /** @return routes and back ends in force, or nullptr before the first. */
  const ConfigurationView* configuration() const { return decider_.configuration(); }
  const ViewFollower& follower() const { return follower_; }
  /** @return the zones whose servers get no new flow, by the configuration in force. */
  std::size_t zonesOutOfService() const { return zones_out_of_service_; }
  std::uint64_t routesVersion() const { return registry_.routesVersion(); }
  const BackendRegistryCounters& registryCounters() const { return registry_.counters(); }
  std::uint64_t candidatesMade() const { return placement_.candidatesMade(); }

 private:
  // PacketRouterHost
  Reason placementBlockedBy() const override;
  void onNewerConfigurationSeen(ConfigVersion) override {}
  void onBackendDraining(BackendId) override {}
  bool viewIsFresh() const override;
  bool backendsAreSettled() const override;
  bool resetsDeadFlows() const override { return settings_.uses.reset_dead; }
  bool asksOthers() const override { return settings_.uses.share_evidence; }
  std::optional<DeathEvidence> deathByOthers(BackendId backend,
                                             std::uint16_t repetitions) const override;
  ViewStamp viewStamp() const override;
  void onHandshake(Duration duration) override;
  void onRequest(BackendId backend) override;
  void onResponse(BackendId backend, Duration duration, ResponseTiming timing) override;

  // ServicePressure
  bool isUnderPressure(ServiceId service) const override;

  // ViewFollowerHost
  void onItems(const std::vector<ItemChange>& changes) override;
  void onComplete(ViewOrigin origin) override;
  void onCaughtUp() override;
  void onSourceLost(SourceError cause) override;
  void onSourceRegained(Duration lost_for) override;

  void connectObservations();
  void logFirstView(ViewOrigin origin);
  void onChange(const ItemChange& change);
  /** @return how a batch of so many changes is logged. */
  BackendRegistry::BatchLog batchLogOf(std::size_t changes) const;
  void onUnreadable(const Item& item, const RecordProblem& problem);
  void onDeletion(const Item& item);

  /** Takes servers that are still missing for gone once the platform has been back for long enough.
   */
  void scheduleRetirement();
  void applySoon();
  void apply();
  /** @return number of back ends and routes that have changed. */
  std::uint64_t updateConfiguration();
  void forgetRemoved();
  /** Forgets what was seen of back ends before they started again. */
  void forgetEarlierRuns(const std::vector<BackendId>& restarted);
  void scheduleCleanup();
  void scheduleComparison();
  void scheduleLoadUpdate();
  /** Moves the limits of admission, and the estimates of what the own zone asks. */
  void updateLoad();

  const PacketNodeSettings settings_;
  const RecordDecoder& decoder_;
  Scheduler& scheduler_;
  EventLog& log_;
  ControlWorkMeter work_;
  BackendRegistry registry_;
  BackendLoadTable loads_;
  PlacementEngine placement_;
  ColdServerLimit cold_limit_;
  FlowDecider decider_;
  FlowObserver observer_;
  SilenceDetector silence_;
  SharedEvidence evidence_;
  EvidenceReporter reporter_;
  ResponseTimes response_times_;
  LocalityRouter locality_;
  LoadControl load_control_;
  ZoneDemand zone_demand_;
  const CompactTokenCodec tokens_;
  PacketRouter router_;
  ViewFollower follower_;
  std::function<bool()> reads_platform_;
  std::function<double()> fleet_size_;
  std::function<void()> on_complete_;
  std::function<void()> on_caught_up_;
  std::function<void(Duration)> on_handshake_;
  std::function<void(Duration)> on_response_;
  std::size_t zones_out_of_service_ = 0;
  bool apply_pending_ = false;
  bool retirement_pending_ = false;
  bool leaving_ = false;
  PacketNodeCounters counters_;
};

}  // namespace lugfork
