#include "balancer/packet_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lugfork {

namespace {

constexpr Duration kCleanupInterval = seconds(10);
/**
 * Maximum number of changes in one answer for which each backend gets a log line of its own; more
 * are logged as lists. A line takes about 10 us of CPU time: with 300 to 700 lines at once packets
 * waited 135 to 197 ms on a node with 0.027 of a core.
 */
constexpr std::size_t kMaxChangesLoggedSingly = 20;
/** Maximum number of changes in one answer that every node logs as lists: ten lines. */
constexpr std::size_t kMaxChangesLoggedAsLists = 400;
/**
 * Number of causes of invalid records that have counters of their own: as many as one version of
 * the program has.
 */
constexpr std::size_t kMaxInvalidRecordCauses = 64;
constexpr Duration kComparisonInterval = milliseconds(500);
/**
 * Interval between two updates of the limits on new flows: a small fraction of clients' response
 * time targets.
 */
constexpr Duration kLoadUpdateInterval = milliseconds(100);
/**
 * Requests in flight per slot from which a backend may be silent because it is full: each request
 * then has a second one queued behind it, and some backends have longer queues than others.
 */
constexpr double kMinPressureRequestsPerSlot = 2;

PlacementSettings placementSettingsOf(const PacketNodeSettings& settings) {
  PlacementSettings placement = settings.placement;
  placement.local_zone = settings.zone;
  return placement;
}

LocalitySettings localitySettingsOf(const PacketNodeSettings& settings) {
  LocalitySettings locality = settings.locality;
  locality.max_weight = settings.placement.local_weight;
  locality.max_bulk_weight = settings.placement.bulk_local_weight;
  return locality;
}

LoadControlSettings loadControlSettingsOf(const PacketNodeSettings& settings) {
  LoadControlSettings load_control = settings.load_control;
  load_control.admission.local_zone = settings.zone;
  return load_control;
}

}  // namespace

PacketNode::PacketNode(PacketNodeSettings settings, const PlatformLayout& layout,
                       ItemSource& source, PacketSender& sender, Scheduler& scheduler,
                       const TimeSource& time_source, RandomGenerator& random, EventLog& log)
    : settings_(std::move(settings)),
      decoder_(layout.decoder),
      scheduler_(scheduler),
      log_(log),
      work_(log),
      registry_(settings_.retired_ttl, time_source, log),
      loads_(settings_.load, time_source),
      placement_(placementSettingsOf(settings_), makePlacementPolicy(settings_.placement_policy),
                 loads_, time_source, random),
      cold_limit_(settings_.cold_backends, time_source),
      decider_(settings_.decider, time_source, placement_, *this),
      observer_(settings_.observer, time_source),
      silence_(settings_.silence, time_source, log),
      evidence_(settings_.evidence, silence_, time_source, log),
      reporter_(EvidenceReporterSettings(), settings_.zone, silence_, evidence_, time_source),
      response_times_(settings_.response_times, time_source),
      locality_(localitySettingsOf(settings_), time_source, log),
      load_control_(loadControlSettingsOf(settings_), time_source, log),
      zone_demand_(settings_.zone_demand, time_source),
      tokens_(settings_.token_key),
      router_(decider_, silence_, observer_, tokens_, sender, *this, log),
      follower_(layout.prefix, settings_.follower, source, scheduler, time_source, random, *this) {
  decider_.setCompactTokens(&tokens_);
  connectObservations();
}

void PacketNode::connectObservations() {
  placement_.setColdBackendLimit(&cold_limit_);
  placement_.setLocality(&locality_);
  silence_.setServiceLookup([this](BackendId backend) {
    const ConfigurationView* configuration = decider_.configuration();
    const Backend* known = configuration == nullptr ? nullptr : configuration->backend(backend);
    return known == nullptr ? ServiceId() : known->service;
  });
  if (settings_.uses.exclude_suspects) {
    const BackendHealth& local = silence_;
    const BackendHealth& shared = evidence_;
    placement_.setBackendHealth(settings_.uses.share_evidence ? &shared : &local);
  }
  if (settings_.uses.weight_by_speed) {
    placement_.setSpeed(&response_times_);
  }
  if (settings_.uses.count_in_flight) {
    placement_.setRequestsInFlight(&observer_.requestsInFlight());
  }
  if (settings_.uses.overflow_by_demand) {
    placement_.setZoneDemand([this](ServiceId service) { return zone_demand_.demand(service); });
  }
  decider_.setAdmission(&load_control_);
  silence_.setPressure(this);
}

void PacketNode::onBehind() {
  silence_.onBehind();
  evidence_.onBehind();
  observer_.onBehind();
}

void PacketNode::start() {
  registry_.setLogsBackends(false);
  follower_.start();
  scheduleCleanup();
  scheduleComparison();
  scheduleLoadUpdate();
}

bool PacketNode::isComplete() const {
  return follower_.isComplete() && registry_.hasRoutes();
}

void PacketNode::startLeaving() {
  leaving_ = true;
  log_.write(LogLevel::Info, "node", "leaving", {});
}

Reason PacketNode::placementBlockedBy() const {
  return isComplete() ? Reason::None : Reason::Joining;
}

bool PacketNode::viewIsFresh() const {
  return isComplete() && follower_.isFresh();
}

bool PacketNode::backendListIsComplete() const {
  return follower_.timeUntilSettled() == Duration::zero();
}

ViewStamp PacketNode::viewStamp() const {
  return {follower_.revision(), follower_.age()};
}

std::optional<DeathEvidence> PacketNode::peerDeathEvidence(BackendId backend,
                                                           std::uint16_t retransmissions) const {
  return settings_.uses.share_evidence ? evidence_.deathEvidence(backend, retransmissions)
                                       : std::nullopt;
}

void PacketNode::onHandshake(Duration duration) {
  if (on_handshake_) {
    on_handshake_(duration);
  }
}

bool PacketNode::isUnderPressure(ServiceId service) const {
  return load_control_.level(service) > 0 ||
         load_control_.load(service).requestsPerBusySlot() >= kMinPressureRequestsPerSlot;
}

void PacketNode::onRequest(BackendId backend) {
  if (const Backend* known = decider_.configuration()->backend(backend)) {
    load_control_.onRequest(known->service);
    zone_demand_.onRequest(known->service);
  }
}

void PacketNode::onResponse(BackendId backend, Duration duration, ResponseTiming timing) {
  response_times_.onResponse(backend, duration);
  if (const Backend* known = decider_.configuration()->backend(backend)) {
    placement_.onResponse(*known, duration);
    if (timing != ResponseTiming::Retransmitted) {
      const Zone* local_zone = decider_.configuration()->zoneNamed(settings_.zone);
      const bool is_remote = local_zone != nullptr && known->zone != local_zone->id;
      load_control_.onResponse(known->service, duration, timing == ResponseTiming::Prompt,
                               is_remote);
    }
  }
  if (on_response_) {
    on_response_(duration);
  }
}

void PacketNode::onItems(const std::vector<ItemChange>& changes) {
  work_.measure(ControlWork::Items, [&] {
    const bool is_batch = changes.size() > kMaxChangesLoggedSingly;
    if (is_batch) {
      registry_.beginBatch();
    }
    for (const ItemChange& change : changes) {
      onChange(change);
    }
    if (is_batch) {
      registry_.endBatch(batchLogFor(changes.size()));
    }
    return static_cast<std::uint64_t>(changes.size());
  });
  scheduleApply();
}

BackendRegistry::BatchLog PacketNode::batchLogFor(std::size_t changes) const {
  const bool is_large_batch = changes > kMaxChangesLoggedAsLists;
  const bool is_relayed = reads_platform_ && !reads_platform_();
  return is_large_batch && is_relayed ? BackendRegistry::BatchLog::Digest
                                      : BackendRegistry::BatchLog::Lists;
}

void PacketNode::onComplete(ViewOrigin origin) {
  registry_.setLogsBackends(true);
  logFirstView(origin);
  apply();
}

void PacketNode::onCaughtUp() {
  if (on_caught_up_) {
    on_caught_up_();
  }
}

void PacketNode::logFirstView(ViewOrigin origin) {
  const BackendRegistry::Summary summary = registry_.summary();
  const bool from_store = origin == ViewOrigin::Store;
  log_.write(LogLevel::Info, "discovery", "view_complete",
             {{"revision", follower_.revision()},
              {"origin", from_store ? "store" : "balancer"},
              {"age_ms", toMilliseconds(follower_.age())},
              {"backends_ready", summary.ready},
              {"backends_draining", summary.draining},
              {"routes_version", registry_.routesVersion()},
              {"digest", summary.digest}});
  if (!from_store) {
    return;
  }
  // Nodes that read the store log all backends, so that the state of each one is in some node's
  // log.
  for (const std::string& line : registry_.snapshotLines()) {
    log_.write(LogLevel::Info, "discovery", "backend_snapshot",
               {{"revision", follower_.revision()}, {"backends", line}});
  }
}

void PacketNode::onSourceLost(SourceError cause) {
  log_.write(LogLevel::Warn, "discovery", "platform_lost",
             {{"cause", toString(cause)},
              {"revision", follower_.revision()},
              {"age_ms", toMilliseconds(follower_.age())}});
}

void PacketNode::onSourceRecovered(Duration lost_for) {
  log_.write(LogLevel::Info, "discovery", "platform_regained",
             {{"lost_for_ms", toMilliseconds(lost_for)}});
}

void PacketNode::onChange(const ItemChange& change) {
  const Item& item = change.item;
  if (change.deleted) {
    onDeletion(item);
    return;
  }
  auto decoded = decoder_.decode(item.key, item.value);
  if (!decoded) {
    onInvalidRecord(item, decoded.error());
    return;
  }
  if (const auto* record = std::get_if<BackendRecord>(&decoded.value())) {
    registry_.onBackend(item.key, *record, item.revision, item.created);
  } else if (auto* table = std::get_if<RouteTable>(&decoded.value())) {
    registry_.onRoutes(std::move(*table), item.revision);
  } else if (const auto* zone = std::get_if<ZoneOutOfService>(&decoded.value())) {
    registry_.onZoneOutOfService(item.key, *zone, item.revision);
  }
}

void PacketNode::onInvalidRecord(const Item& item, const RecordProblem& problem) {
  const auto known = counters_.records_invalid.find(problem.text);
  const bool has_room = counters_.records_invalid.size() < kMaxInvalidRecordCauses;
  const bool has_own_counter = known != counters_.records_invalid.end() || has_room;
  ++counters_.records_invalid[has_own_counter ? problem.text : "other"];
  log_.write(LogLevel::Error, "discovery", "record_invalid",
             {{"key", item.key}, {"revision", item.revision}, {"problem", problem.text}});
  registry_.onBackendUnreadable(item.key, item.revision);
}

void PacketNode::onDeletion(const Item& item) {
  if (registry_.onZoneBackInService(item.key, item.revision)) {
    return;
  }
  if (backendListIsComplete()) {
    registry_.onBackendDeleted(item.key, item.revision);
    return;
  }
  registry_.onBackendMissing(item.key, item.revision);
  scheduleRetirement();
}

void PacketNode::scheduleRetirement() {
  if (retirement_pending_) {
    return;
  }
  retirement_pending_ = true;
  scheduler_.callAfter(follower_.timeUntilSettled(), [this] {
    retirement_pending_ = false;
    if (!backendListIsComplete()) {
      scheduleRetirement();
    } else if (registry_.retireMissing()) {
      scheduleApply();
    }
  });
}

void PacketNode::scheduleApply() {
  if (apply_pending_) {
    return;
  }
  apply_pending_ = true;
  scheduler_.callAfter(settings_.apply_delay, [this] { apply(); });
}

void PacketNode::apply() {
  apply_pending_ = false;
  ++counters_.configurations_applied;
  work_.measure(ControlWork::Configuration, [this] { return updateConfiguration(); });
  zones_out_of_service_ = registry_.zonesOutOfService();
  // The operator's first routes may arrive after the first full read.
  if (isComplete() && on_complete_) {
    std::exchange(on_complete_, nullptr)();
  }
}

std::uint64_t PacketNode::updateConfiguration() {
  const std::uint64_t routes_before = registry_.counters().routes_built;
  const ConfigurationChanges changes = registry_.updateConfiguration();
  clearPreviousIncarnations(changes.restarted);
  // This comes before placement adds new backends, because placement asks whether their zones are
  // reachable.
  if (settings_.uses.share_evidence) {
    evidence_.onConfigurationChanged(changes, *registry_.configuration());
    reporter_.setConfiguration(*registry_.configuration());
  }
  if (decider_.configuration() == nullptr) {
    decider_.setConfiguration(registry_.configuration());
  } else {
    decider_.onConfigurationChanged(changes);
  }
  if (!changes.removed.empty()) {
    pruneRemovedBackends();
  }
  return changes.backends.size() + changes.removed.size() + registry_.counters().routes_built -
         routes_before;
}

void PacketNode::clearPreviousIncarnations(const std::vector<BackendId>& restarted) {
  for (const BackendId backend : restarted) {
    silence_.remove(backend);
    response_times_.remove(backend);
    observer_.onRestart(backend);
  }
}

void PacketNode::pruneRemovedBackends() {
  const ConfigurationView& configuration = *registry_.configuration();
  silence_.retain(configuration);
  response_times_.retain(configuration);
  observer_.retain(configuration);
  locality_.retain(configuration);
  zone_demand_.retain(configuration);
}

void PacketNode::scheduleComparison() {
  scheduler_.callAfter(kComparisonInterval, [this] {
    if (decider_.configuration() != nullptr) {
      response_times_.compare(*decider_.configuration());
    }
    scheduleComparison();
  });
}

void PacketNode::scheduleLoadUpdate() {
  scheduler_.callAfter(kLoadUpdateInterval, [this] {
    if (decider_.configuration() != nullptr) {
      updateLoad();
    }
    scheduleLoadUpdate();
  });
}

void PacketNode::updateLoad() {
  const ConfigurationView& configuration = *decider_.configuration();
  const double fleet_size = fleet_size_ ? std::max(1.0, fleet_size_()) : 1;
  const auto balancers = static_cast<std::size_t>(std::lround(fleet_size));
  load_control_.tick(configuration, balancers);
  if (!settings_.uses.overflow_by_demand) {
    return;
  }
  const ZoneBalancers zone_balancers{0, balancers, configuration.document().zones.size()};
  for (const Service& service : configuration.document().services) {
    zone_demand_.update(service.id, load_control_.load(service.id).service_time, zone_balancers);
  }
}

void PacketNode::scheduleCleanup() {
  scheduler_.callAfter(kCleanupInterval, [this] {
    if (registry_.pruneRetired()) {
      scheduleApply();
    }
    scheduleCleanup();
  });
}

}  // namespace lugfork
