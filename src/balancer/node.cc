#include "balancer/node.h"

#include <algorithm>

namespace lugfork {

Node::Node(NodeSettings settings, const TimeSource& time_source, RandomGenerator& random,
           NodeOutputs& outputs, EventLog& log)
    : settings_(std::move(settings)),
      id_(nodeIdFromName(settings_.name)),
      time_source_(time_source),
      random_(random),
      outputs_(outputs),
      log_(log),
      loads_(settings_.load, time_source),
      placement_(settings_.placement, makePlacementPolicy(settings_.placement_policy), loads_,
                 time_source, random),
      router_(settings_.flow, time_source, outputs, placement_, loads_, *this) {}

void Node::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  router_.onDatagram(bytes, from);
}

void Node::onPeerMessage(Endpoint from, const PeerMessage& message) {
  std::visit([&](const auto& body) { handle(from, body); }, message);
}

void Node::onPlatformConfiguration(const std::string& json_text) {
  offerConfiguration(json_text, "platform");
}

void Node::onPlatformMachines(const std::vector<Machine>& machines) {
  peers_.clear();
  std::uint32_t live = 1;
  for (const Machine& machine : machines) {
    if (machine.name == settings_.name) {
      continue;
    }
    live += machine.leaving ? 0 : 1;
    peers_.push_back(machine);
  }
  loads_.setLiveBalancers(live);
}

void Node::onBackendReport(const BackendReport& report) {
  if (loads_.onReport(report) && (!report.reachable || report.draining)) {
    placement_.invalidateCandidates();
  }
}

void Node::onTick() {
  const MonotonicTime now = time_source_.monotonicTime();
  if (now >= next_platform_read_) {
    next_platform_read_ = now + settings_.platform_interval;
    outputs_.readPlatformConfiguration();
    outputs_.readPlatformMachines();
  }
  if (now >= next_gossip_) {
    next_gossip_ = now + settings_.gossip_interval;
    gossip();
  }
  if (now >= next_probe_) {
    next_probe_ = now + settings_.probe_interval;
    probe();
  }
}

void Node::startLeaving() {
  leaving_ = true;
  log_.write(LogLevel::Info, "node", "leaving", {});
}

Reason Node::placementBlockedBy() const {
  if (leaving_ || store_.inForce() == nullptr) {
    return Reason::Joining;
  }
  return Reason::None;
}

void Node::onNewerConfigurationSeen(ConfigVersion) {
  outputs_.readPlatformConfiguration();
}

void Node::onBackendDraining(BackendId backend) {
  log_.write(LogLevel::Info, "node", "backend_draining", {{"backend", backend.value()}});
}

void Node::offerConfiguration(const std::string& json_text, const char* source) {
  const OfferOutcome outcome = store_.offer(json_text);
  if (outcome == OfferOutcome::Adopted || outcome == OfferOutcome::ConflictAdopted) {
    router_.setConfiguration(store_.inForce());
    log_.write(LogLevel::Info, "configuration", "configuration_adopted",
               {{"version", store_.version().value()},
                {"source", source},
                {"outcome", toString(outcome)}});
  } else if (outcome == OfferOutcome::Invalid) {
    log_.write(LogLevel::Error, "configuration", "configuration_invalid",
               {{"source", source}, {"problems", describeProblems(store_.lastProblems())}});
  } else if (outcome == OfferOutcome::ConflictKept) {
    log_.write(LogLevel::Error, "configuration", "configuration_conflict",
               {{"source", source}, {"version", store_.version().value()}});
  }
}

void Node::gossip() {
  if (peers_.empty()) {
    return;
  }
  const Machine& peer = peers_[random_.below(peers_.size())];
  outputs_.sendPeerMessage(peer.peer_address, Ping{id_, ++ping_sequence_, store_.version()});
}

void Node::probe() {
  if (store_.inForce() == nullptr) {
    return;
  }
  for (const Backend& backend : store_.inForce()->document().backends) {
    outputs_.probeBackend(backend);
  }
}

void Node::handle(Endpoint from, const Ping& ping) {
  outputs_.sendPeerMessage(from, PingAck{id_, ping.sequence, store_.version()});
  onPeerVersion(from, ping.config_version);
}

void Node::handle(Endpoint from, const PingAck& ack) {
  onPeerVersion(from, ack.config_version);
}

void Node::handle(Endpoint from, const ConfigurationRequest& request) {
  if (request.version_in_force < store_.version()) {
    outputs_.sendPeerMessage(from, ConfigurationReply{id_, store_.documentInForce()});
  }
}

void Node::handle(Endpoint, const ConfigurationReply& reply) {
  offerConfiguration(reply.document, "peer");
}

void Node::onPeerVersion(Endpoint from, ConfigVersion version) {
  if (version > store_.version()) {
    outputs_.sendPeerMessage(from, ConfigurationRequest{id_, store_.version()});
  }
}

}  // namespace lugfork
