#include "balancer/node.h"

#include <algorithm>
#include <utility>

namespace lugfork {

namespace {

/** Maximum number of live members at which every report is sent to every node. */
constexpr std::size_t kMaxSmallFleetSize = 32;
/** Maximum size of the load reports in one message [bytes]. */
constexpr std::size_t kMaxLoadBytes = 1000;
/**
 * Size reserved in any gossip message for state changes, also if the budget is exhausted [bytes].
 */
constexpr std::size_t kStateBytes = 4 * LoadGossip::kObservationBytes;
/**
 * Maximum size of membership updates in one message, and the minimum if the budget is exhausted
 * [bytes].
 */
constexpr std::size_t kMaxMemberUpdateBytes = 400;
constexpr std::size_t kMinMemberUpdateBytes = 100;
/** Encoded size of a gossip header without its lists [bytes]. */
constexpr std::size_t kHeaderBytes = 80;
/** Encoded size of a member record, names included [bytes]. */
constexpr std::size_t kMemberBytes = 48;
/** Number of members that are pinged at once when the view needs a confirmation. */
constexpr std::size_t kConfirmationPeerCount = 3;
constexpr Duration kConfirmationInterval = milliseconds(500);
/** Minimum interval between two computations of the probe assignment. */
constexpr Duration kAssignmentInterval = seconds(1);
/** Anti-entropy interval of the backend states, for a node that has joined or missed gossip. */
constexpr Duration kObservationsRequestInterval = seconds(60);
constexpr std::uint32_t kMaxObservations = 1000;
/** Minimum interval between two reads of the platform that are prompted by tokens. */
constexpr Duration kTokenPromptedReadInterval = seconds(10);
/** A read of the platform is considered failed after this time without an answer. */
constexpr Duration kPlatformReadTimeout = seconds(10);

MemberRecord recordOf(const NodeSettings& settings, const TimeSource& time_source) {
  MemberRecord record;
  record.name = settings.name;
  record.zone = settings.zone;
  record.peer_address = settings.peer_address;
  record.incarnation = toUnixMilliseconds(time_source.systemTime());
  return record;
}

std::size_t estimatedBytes(const GossipHeader& gossip) {
  return kHeaderBytes + kMemberBytes * gossip.members.size() +
         LoadGossip::kObservationBytes * gossip.observations.size();
}

}  // namespace

Node::Node(NodeSettings settings, const TimeSource& time_source, RandomGenerator& random,
           NodeOutputs& outputs, EventLog& log)
    : settings_(std::move(settings)),
      time_source_(time_source),
      outputs_(outputs),
      log_(log),
      loads_(settings_.load, time_source),
      placement_(settings_.placement, makePlacementPolicy(settings_.placement_policy), loads_,
                 time_source, random),
      router_(settings_.flow, time_source, outputs, placement_, loads_, *this),
      membership_(settings_.membership, recordOf(settings_, time_source), time_source, random,
                  *this, log),
      configuration_(settings_.configuration, store_, time_source, random, *this, log),
      lease_(settings_.lease, time_source),
      join_(settings_.join, time_source),
      probes_(settings_.probes),
      load_spread_(settings_.load_spread, time_source),
      budget_(settings_.control_bytes_per_second, time_source) {}

void Node::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  router_.onDatagram(bytes, from);
}

void Node::onPeerMessage(Endpoint from, const PeerMessage& message) {
  std::visit([&](const auto& body) { handle(from, body); }, message);
}

void Node::onPlatformConfiguration(const std::string& json_text) {
  join_.onPlatformConfiguration();
  if (store_.inForce() != nullptr) {
    adoptPlatformDocument(json_text);
    return;
  }
  // A replica of the platform may be stale, so peers that may have a newer version are asked first.
  const auto parsed = parseConfigurationDocument(json_text);
  initial_document_ = json_text;
  initial_document_version_ = parsed ? parsed.value().version : ConfigVersion();
  adoptInitialDocument();
}

void Node::adoptInitialDocument() {
  const bool peers_may_have_newer =
      store_.inForce() == nullptr && !join_.mayAdoptFromPlatform(initial_document_version_);
  if (initial_document_.empty() || peers_may_have_newer) {
    return;
  }
  adoptPlatformDocument(std::exchange(initial_document_, std::string()));
}

void Node::adoptPlatformDocument(const std::string& json_text) {
  configuration_.onPlatformDocument(json_text);
  const MonotonicTime requested_at = platform_requested_at_;
  platform_requested_at_ = MonotonicTime();
  if (requested_at != MonotonicTime() && configuration_.platformIsCurrent()) {
    lease_.onConfirmed(requested_at);
  }
}

void Node::onPlatformMachines(const std::vector<Machine>& machines) {
  std::vector<MemberSeed> seeds;
  for (const Machine& machine : machines) {
    if (!machine.leaving) {
      seeds.push_back({machine.name, machine.zone, machine.peer_address});
    }
  }
  membership_.setSeeds(std::move(seeds));
  join_.onMachineList(membership_.seedCount());
}

void Node::onBackendReport(const BackendReport& report) {
  onObservation({report, false});
}

void Node::onTick() {
  const MonotonicTime now = time_source_.monotonicTime();
  if (lease_.onTick()) {
    log_.write(LogLevel::Warn, "node", "pause_detected", {});
    membership_.onPause();
    next_confirmation_at_ = MonotonicTime();
    platform_requested_at_ = MonotonicTime();
    configuration_.readPlatformAtNextTick();
  }
  membership_.onTick();
  configuration_.onTick(membership_.liveCount() + 1);
  adoptInitialDocument();
  join_.onTick();
  confirmView(now);
  pushUpdates();
  gossipLoad(now);
  requestObservations(now);
  probe(now);
}

void Node::startLeaving() {
  leaving_ = true;
  membership_.startLeaving();
  push_pending_ = true;
  pushUpdates();
  log_.write(LogLevel::Info, "node", "leaving", {});
}

Reason Node::placementBlockedBy() const {
  if (leaving_ || store_.inForce() == nullptr || join_.state() == JoinState::Joining) {
    return Reason::Joining;
  }
  return lease_.state() == ViewState::Stale ? Reason::ViewNotFresh : Reason::None;
}

ClusterStatus Node::clusterStatus() const {
  return {join_.state(),
          lease_.state(),
          membership_.liveCount(),
          membership_.members().size(),
          configuration_.conflicts(),
          lease_.age()};
}

void Node::onNewerConfigurationSeen(ConfigVersion version) {
  if (!configuration_.onNewerVersionSeen(version)) {
    return;
  }
  const std::vector<MemberRecord> peers = membership_.randomLive(1);
  if (!peers.empty()) {
    configuration_.request(peers.front().peer_address);
  }
  // Anyone can send a token with an unknown key, so not every one causes a read of the platform.
  const MonotonicTime now = time_source_.monotonicTime();
  if (now >= next_token_prompted_read_at_) {
    next_token_prompted_read_at_ = now + kTokenPromptedReadInterval;
    configuration_.readPlatformAtNextTick();
  }
}

void Node::onBackendDraining(BackendId backend) {
  if (load_spread_.onDrainAnnounced(backend)) {
    log_.write(LogLevel::Info, "node", "backend_draining", {{"backend", backend.value()}});
  }
}

void Node::sendPing(Endpoint peer, std::uint64_t sequence, const MemberRecord* about) {
  outputs_.sendPeerMessage(peer, Ping{sequence, makeGossip(about, ObservationScope::StateChanges)});
}

void Node::sendPingAck(Endpoint peer, std::uint64_t sequence) {
  outputs_.sendPeerMessage(peer,
                           PingAck{sequence, makeGossip(nullptr, ObservationScope::StateChanges)});
}

void Node::sendPingRequest(Endpoint via, std::uint64_t sequence, Endpoint target) {
  GossipHeader gossip = makeGossip(nullptr, ObservationScope::StateChanges);
  outputs_.sendPeerMessage(via, PingRequest{sequence, target, std::move(gossip)});
}

void Node::sendMembersRequest(Endpoint peer, std::uint32_t from_index) {
  outputs_.sendPeerMessage(peer, MembersRequest{from_index});
}

void Node::onMemberChanged(const MemberRecord&, MemberState) {
  loads_.setLiveBalancers(static_cast<std::uint32_t>(membership_.liveCount() + 1));
}

void Node::sendConfigurationMessage(Endpoint peer, const PeerMessage& message) {
  outputs_.sendPeerMessage(peer, message);
}

void Node::readConfigurationFromPlatform() {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool is_read_pending = platform_requested_at_ != MonotonicTime() &&
                               now - platform_requested_at_ < kPlatformReadTimeout;
  if (!is_read_pending) {
    platform_requested_at_ = now;
  }
  outputs_.readPlatformConfiguration();
  outputs_.readPlatformMachines();
}

void Node::onConfigurationAdopted() {
  router_.setConfiguration(store_.inForce());
  join_.onConfiguration(store_.version());
  push_pending_ = true;
  pushUpdates();
}

void Node::handle(Endpoint from, const Ping& ping) {
  onGossip(from, ping.gossip);
  membership_.onPing(from, ping.sequence);
}

void Node::handle(Endpoint from, const PingAck& ack) {
  onGossip(from, ack.gossip);
  const auto requested_at = membership_.onPingAck(from, ack.sequence);
  if (!requested_at) {
    return;
  }
  join_.onPeerAnswered(ack.gossip.sender.name, ack.gossip.configuration.version);
  if (ack.gossip.configuration <= store_.id()) {
    lease_.onConfirmed(*requested_at);
  }
}

void Node::handle(Endpoint from, const PingRequest& request) {
  onGossip(from, request.gossip);
  membership_.onPingRequest(from, request.sequence, request.target);
}

void Node::handle(Endpoint from, const GossipPush& push) {
  onGossip(from, push.gossip);
}

void Node::handle(Endpoint from, const MembersRequest& request) {
  outputs_.sendPeerMessage(from, membership_.membersPage(request.from_index));
}

void Node::handle(Endpoint from, const MembersReply& reply) {
  membership_.onMembersReply(from, reply);
}

void Node::handle(Endpoint from, const ObservationsRequest& request) {
  const std::size_t limit = std::min<std::size_t>(request.limit, kMaxObservations);
  outputs_.sendPeerMessage(from, ObservationsReply{load_spread_.unhealthy(limit)});
}

void Node::handle(Endpoint, const ObservationsReply& reply) {
  for (const BackendObservation& observation : reply.observations) {
    onObservation(observation);
  }
}

void Node::handle(Endpoint from, const ConfigurationRequest& request) {
  configuration_.onRequest(from, request);
}

void Node::handle(Endpoint from, const ConfigurationDelta& delta) {
  configuration_.onDelta(from, delta);
}

void Node::handle(Endpoint from, const ConfigurationSummary& summary) {
  configuration_.onSummary(from, summary);
}

void Node::handle(Endpoint from, const BucketRequest& request) {
  configuration_.onBucketRequest(from, request);
}

void Node::handle(Endpoint from, const BucketReply& reply) {
  configuration_.onBucketReply(from, reply);
}

void Node::onGossip(Endpoint from, const GossipHeader& gossip) {
  membership_.onGossip(gossip);
  configuration_.onPeerConfiguration(from, gossip.configuration);
  for (const BackendObservation& observation : gossip.observations) {
    onObservation(observation);
  }
}

void Node::onObservation(const BackendObservation& observation) {
  if (!load_spread_.onObservation(observation)) {
    return;
  }
  const BackendReport& report = observation.report;
  loads_.onReport(report);
  if (observation.self_announced) {
    loads_.onDrainingRefusal(report.backend);
  }
  if (!report.reachable || report.draining || observation.self_announced) {
    placement_.invalidateCandidates();
  }
}

GossipHeader Node::makeGossip(const MemberRecord* about, ObservationScope scope) {
  GossipHeader gossip;
  gossip.sender = membership_.self();
  gossip.configuration = store_.id();
  // State changes always have room, then membership updates, then load reports.
  gossip.observations = load_spread_.take(ObservationScope::StateChanges, kStateBytes, audience());
  const std::size_t member_update_budget = std::min(kMaxMemberUpdateBytes, remainingBudget(gossip));
  gossip.members =
      membership_.takeUpdates(about, std::max(kMinMemberUpdateBytes, member_update_budget));
  if (scope == ObservationScope::All) {
    const std::size_t load_budget = std::min(kMaxLoadBytes, remainingBudget(gossip));
    for (const BackendObservation& observation :
         load_spread_.take(ObservationScope::Load, load_budget, audience())) {
      gossip.observations.push_back(observation);
    }
  }
  budget_.spend(estimatedBytes(gossip));
  return gossip;
}

std::size_t Node::remainingBudget(const GossipHeader& gossip) {
  const std::size_t used = estimatedBytes(gossip);
  const std::size_t available = budget_.available();
  return available > used ? available - used : 0;
}

ReceiverCounts Node::audience() const {
  const std::size_t fleet = membership_.liveCount();
  return {fleet, isSmallFleet() ? fleet : membership_.liveInLocalZone()};
}

bool Node::isSmallFleet() const {
  return membership_.liveCount() <= kMaxSmallFleetSize;
}

void Node::confirmView(MonotonicTime now) {
  if (!lease_.needsConfirmation() || now < next_confirmation_at_) {
    return;
  }
  next_confirmation_at_ = now + kConfirmationInterval;
  membership_.pingRandomMembers(kConfirmationPeerCount);
}

void Node::pushUpdates() {
  const bool has_urgent_updates = push_pending_ || load_spread_.hasUrgent();
  if (!has_urgent_updates || budget_.isExhausted()) {
    return;
  }
  push_pending_ = false;
  load_spread_.clearUrgent();
  for (const MemberRecord& peer : membership_.randomLive(settings_.push_fanout)) {
    outputs_.sendPeerMessage(peer.peer_address,
                             GossipPush{makeGossip(&peer, ObservationScope::StateChanges)});
  }
}

void Node::gossipLoad(MonotonicTime now) {
  if (now < next_gossip_at_) {
    return;
  }
  next_gossip_at_ = now + settings_.gossip_interval;
  const std::string zone = isSmallFleet() ? std::string() : settings_.zone;
  const std::vector<MemberRecord> peers = membership_.randomLive(1, zone);
  if (peers.empty() || load_spread_.size() == 0) {
    return;
  }
  if (budget_.available() < kHeaderBytes + LoadGossip::kObservationBytes) {
    return;
  }
  GossipHeader gossip = makeGossip(&peers.front(), ObservationScope::All);
  if (!gossip.observations.empty()) {
    outputs_.sendPeerMessage(peers.front().peer_address, GossipPush{std::move(gossip)});
  }
}

void Node::requestObservations(MonotonicTime now) {
  if (now < next_observations_at_) {
    return;
  }
  const std::vector<MemberRecord> peers = membership_.randomLive(1);
  if (!peers.empty()) {
    next_observations_at_ = now + kObservationsRequestInterval;
    outputs_.sendPeerMessage(peers.front().peer_address, ObservationsRequest{kMaxObservations});
  }
}

void Node::probe(MonotonicTime now) {
  if (store_.inForce() == nullptr) {
    return;
  }
  updateAssignment(now);
  for (const BackendId id : probes_.due(now)) {
    if (const Backend* backend = store_.inForce()->backend(id)) {
      outputs_.probeBackend(*backend);
    }
  }
}

void Node::updateAssignment(MonotonicTime now) {
  const bool changed = assigned_generation_ != membership_.liveGeneration() + 1 ||
                       assigned_configuration_ != store_.id();
  if (!changed || now < next_assignment_at_) {
    return;
  }
  next_assignment_at_ = now + kAssignmentInterval;
  assigned_generation_ = membership_.liveGeneration() + 1;
  assigned_configuration_ = store_.id();
  std::vector<MemberRecord> live;
  for (const MemberRecord& member : membership_.members()) {
    if (isLive(member)) {
      live.push_back(member);
    }
  }
  probes_.setAssignment(assignProbes(*store_.inForce(), membership_.self(), live,
                                     settings_.probes.probers_per_backend));
}

}  // namespace lugfork
