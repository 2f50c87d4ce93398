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

/** Uses of the observations from packets; each can be switched off to measure its effect. */
struct ObservationUses {
  /** Suspect backends get no new flows. */
  bool exclude_suspects = true;
  /** Open flows of backends that are marked dead are reset. */
  bool reset_dead = true;
  /** Backends that respond slowly get fewer new flows. */
  bool weight_by_speed = true;
  /** Load is estimated by requests in flight. */
  bool count_in_flight = true;
  /** Evidence of silent backends from other balancers of the zone counts too. */
  bool share_evidence = false;
  /** New flows leave the local zone according to its clients' demand, before responses get slow. */
  bool overflow_by_demand = false;
};

/** Identity and settings of a balancer. */
struct PacketNodeSettings {
  std::string name;
  std::string zone;
  CompactTokenKey token_key{};
  std::string placement_policy = "bounded_rendezvous";
  FlowObserverSettings observer;
  /** Time for which a backend that was removed from the platform stays reachable for open flows. */
  Duration retired_ttl = seconds(90);
  /** Time for which changes of backends are collected before they are applied. */
  Duration apply_delay = milliseconds(5);
  FlowDeciderSettings decider;
  PlacementSettings placement;
  ObservationUses uses;
  SilenceDetectorSettings silence;
  SharedEvidenceSettings evidence;
  ResponseTimeSettings response_times;
  /** Its weights are overwritten by those of the placement. */
  LocalitySettings locality;
  LoadEstimateSettings load;
  LoadControlSettings load_control;
  ZoneDemandSettings zone_demand;
  ColdBackendLimitSettings cold_backends;
  ViewFollowerSettings follower;
};

/** Where a platform stores routes and backends, and how it encodes them. */
struct PlatformLayout {
  /** Prefix of all relevant keys: one view holds them all. */
  std::string prefix;
  /** Prefix of backends. */
  std::string endpoints_prefix;
  /** Prefix of the documents that the operator writes: routes, and zones out of service. */
  std::string documents_prefix;
  const RecordDecoder& decoder;
};

/** Counters of the node outside the data path. */
struct PacketNodeCounters {
  /** Invalid records by cause; the causes are fixed texts of this program. */
  std::map<std::string, std::uint64_t> records_invalid;
  std::uint64_t configurations_applied = 0;
};

/**
 * A balancer for packets with compact tokens, without sockets and clocks. Follows the platform's
 * routes and backends and routes packets by them.
 */
class PacketNode : private PacketRouterHost, private ViewFollowerHost, private ServicePressure {
 public:
  PacketNode(PacketNodeSettings settings, const PlatformLayout& layout, ItemSource& source,
             PacketSender& sender, Scheduler& scheduler, const TimeSource& time_source,
             RandomGenerator& random, EventLog& log);

  /** Starts to follow the platform. */
  void start();

  void onPacket(const FlowPacket& packet) { router_.onPacket(packet); }

  /** @return true once all routes and backends are known. */
  bool isComplete() const;

  /** Starts a planned stop: the node is no longer ready but forwards as before. */
  void startLeaving();

  /** @return true if clients may be sent to this node. */
  bool isReady() const { return isComplete() && !leaving_; }
  bool isLeaving() const { return leaving_; }

  /** Sets a callback for the moment at which the node becomes complete; called once. */
  void setCompletionCallback(std::function<void()> callback) { on_complete_ = std::move(callback); }

  /**
   * Sets a callback for the moment from which this node's view may be passed to peers; called once.
   */
  void setCaughtUpCallback(std::function<void()> callback) { on_caught_up_ = std::move(callback); }

  /** Sets the function that determines which cold backends this balancer owns. */
  void setIsOwner(ColdBackendLimit::IsOwner is_owner) {
    cold_limit_.setIsOwner(std::move(is_owner));
  }

  /**
   * Sets the function that returns the number of balancers, this one included; without it there is
   * only this one.
   */
  void setFleetSize(std::function<double()> fleet_size) { fleet_size_ = std::move(fleet_size); }

  /** Sets a callback for the duration of each handshake that ends at this node. */
  void setHandshakeCallback(std::function<void(Duration)> callback) {
    on_handshake_ = std::move(callback);
  }

  /** Sets a callback for the response time of each response that begins at this node. */
  void setResponseCallback(std::function<void(Duration)> callback) {
    on_response_ = std::move(callback);
  }

  /**
   * Sets the function that returns whether changes come directly from the platform. Of a large
   * batch only nodes that read the platform log each backend: 986 nodes wrote 260 lines each while
   * 10,000 backends started.
   */
  void setReadsPlatform(std::function<bool()> reads_platform) {
    reads_platform_ = std::move(reads_platform);
  }

  /** Sets the clock by which control work is measured. */
  void setProcessorClock(const CpuClock& clock) { work_.setClock(clock); }
  const ControlWorkMeter& controlWork() const { return work_; }

  /** @return evidence of silent backends from other balancers; filled by an EvidenceExchange. */
  SharedEvidence& sharedEvidence() { return evidence_; }
  const SharedEvidence& sharedEvidence() const { return evidence_; }
  EvidenceReporter& evidenceReporter() { return reporter_; }
  /**
   * To be called when this node was delayed: it was paused, or a packet has waited in its socket.
   * What it observed up to now is not counted as silence of a backend. Cheap enough for each
   * packet.
   */
  void onBehind();

  /** @return number of backends that this node itself suspects. */
  std::size_t locallySuspectedCount() const { return silence_.observations().size(); }

  const PacketCounters& packetCounters() const { return router_.counters(); }
  const PacketNodeCounters& counters() const { return counters_; }
  const LocalityRouter& locality() const { return locality_; }
  const LoadControl& loadControl() const { return load_control_; }
  /** @return routes and backends in force, or nullptr before the first. */
  const ConfigurationView* configuration() const { return decider_.configuration(); }
  const ViewFollower& follower() const { return follower_; }
  /**
   * @return number of zones out of service, whose backends get no new flow, in the configuration in
   * force.
   */
  std::size_t zonesOutOfService() const { return zones_out_of_service_; }
  std::uint64_t routesVersion() const { return registry_.routesVersion(); }
  const BackendRegistryCounters& registryCounters() const { return registry_.counters(); }
  std::uint64_t candidatesEvaluated() const { return placement_.candidatesEvaluated(); }

 private:
  // PacketRouterHost
  Reason placementBlockedBy() const override;
  void onNewerConfigurationSeen(ConfigVersion) override {}
  void onBackendDraining(BackendId) override {}
  bool viewIsFresh() const override;
  bool backendListIsComplete() const override;
  bool resetsFlowsOfDeadBackends() const override { return settings_.uses.reset_dead; }
  bool requiresPeerEvidence() const override { return settings_.uses.share_evidence; }
  std::optional<DeathEvidence> peerDeathEvidence(BackendId backend,
                                                 std::uint16_t retransmissions) const override;
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
  void onSourceRecovered(Duration lost_for) override;

  void connectObservations();
  void logFirstView(ViewOrigin origin);
  void onChange(const ItemChange& change);
  /** @return how a batch of that many changes is logged. */
  BackendRegistry::BatchLog batchLogFor(std::size_t changes) const;
  void onInvalidRecord(const Item& item, const RecordProblem& problem);
  void onDeletion(const Item& item);

  /**
   * Retires backends that are still missing once the platform has been reachable for long enough.
   */
  void scheduleRetirement();
  void scheduleApply();
  void apply();
  /** @return number of backends and routes that have changed. */
  std::uint64_t updateConfiguration();
  void pruneRemovedBackends();
  /** Discards observations of earlier incarnations of restarted backends. */
  void clearPreviousIncarnations(const std::vector<BackendId>& restarted);
  void scheduleCleanup();
  void scheduleComparison();
  void scheduleLoadUpdate();
  /** Updates the admission limits and the estimates of the local zone's demand. */
  void updateLoad();

  const PacketNodeSettings settings_;
  const RecordDecoder& decoder_;
  Scheduler& scheduler_;
  EventLog& log_;
  ControlWorkMeter work_;
  BackendRegistry registry_;
  BackendLoadTable loads_;
  PlacementEngine placement_;
  ColdBackendLimit cold_limit_;
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
