#include "flow/packet_router.h"

namespace lugfork {

PacketRouter::PacketRouter(FlowDecider& decider, SilenceDetector& silence, FlowObserver& observer,
                           const CompactTokenCodec& tokens, PacketSender& sender,
                           PacketRouterHost& host, EventLog& log)
    : decider_(decider),
      silence_(silence),
      observer_(observer),
      tokens_(tokens),
      sender_(sender),
      host_(host),
      log_(log) {}

void PacketRouter::onPacket(const FlowPacket& packet) {
  if (packet.opens) {
    onOpening(packet);
  } else {
    onContinuation(packet);
  }
}

void PacketRouter::onOpening(const FlowPacket& packet) {
  const BackendId unresponsive = unresponsiveBackend(packet);
  const bool is_retransmission = packet.acknowledged > 0 || packet.may_be_accepted;
  const auto decision =
      decider_.decideOpening({packet.flow(), packet.service, unresponsive, is_retransmission});
  if (!decision) {
    rejectOpening(packet, decision.error());
    return;
  }
  const Backend& backend = *decision.value().backend;
  ++counters_.openings;
  counters_.reopenings += unresponsive == BackendId() ? 0 : 1;
  const std::size_t in_flight = observer_.requestsInFlight().count(backend.id);
  observer_.onPlaced(packet, backend.id);
  silence_.onOpening(backend.id);
  sender_.forwardPacket(backend, tokens_.encode(packet.flow(), backend.id));
  if (!log_.wouldWrite(LogLevel::Info, "flow", "flow_placed")) {
    return;
  }
  const ViewStamp view = host_.viewStamp();
  log_.write(LogLevel::Info, "flow", "flow_placed",
             {{"flow", flowName(packet)},
              {"copy", packet.acknowledged},
              {"backend", backend.name},
              {"backend_address", toString(backend.address)},
              {"backend_id", backend.id.value()},
              {"service", decision.value().service->name},
              {"in_flight", static_cast<std::uint64_t>(in_flight)},
              {"passed_over", unresponsive == BackendId() ? 0U : unresponsive.value()},
              {"revision", view.revision},
              {"view_age_ms", toMilliseconds(view.age)}});
}

BackendId PacketRouter::unresponsiveBackend(const FlowPacket& packet) {
  const ObservedFlow* earlier = observer_.find(packet.flow());
  if (packet.acknowledged == 0 || (earlier != nullptr && earlier->open)) {
    return BackendId();
  }
  if (earlier != nullptr) {
    silence_.onOpeningRetransmitted(earlier->backend, packet.flow());
    return earlier->backend;
  }
  // The first transmission passed through another balancer, which made the same choice.
  const auto first = decider_.decideOpening({packet.flow(), packet.service, BackendId(), true});
  return first ? first.value().backend->id : BackendId();
}

bool PacketRouter::isAuthoritative(Reason reason) const {
  if (reason == Reason::NoBackendInAllowedZones && !host_.backendListIsComplete()) {
    return false;
  }
  return (reason == Reason::UnknownService || reason == Reason::NoBackendInAllowedZones) &&
         host_.viewIsFresh();
}

void PacketRouter::rejectOpening(const FlowPacket& packet, const PlacementRefusal& refusal) {
  if (refusal.is_final || isAuthoritative(refusal.reason)) {
    reset(packet, refusal.reason);
    return;
  }
  ++counters_.drops_not_certain;
  if (!log_.wouldWrite(LogLevel::Info, "flow", "opening_dropped")) {
    return;
  }
  const ViewStamp view = host_.viewStamp();
  log_.write(LogLevel::Info, "flow", "opening_dropped",
             {{"flow", flowName(packet)},
              {"reason", toString(refusal.reason)},
              {"revision", view.revision},
              {"view_age_ms", toMilliseconds(view.age)}});
}

void PacketRouter::onContinuation(const FlowPacket& packet) {
  const ContinuationDecision decision =
      decider_.decideContinuation({FlowKey{packet.flow(), 0}, packet.service, packet.token});
  if (const auto* forward = std::get_if<ForwardDecision>(&decision)) {
    onForward(packet, *forward);
    return;
  }
  if (const auto* refused = std::get_if<ResetDecision>(&decision)) {
    reset(packet, refused->reason);
    return;
  }
  ++counters_.drops_unknown_backend;
  if (!log_.wouldWrite(LogLevel::Info, "flow", "packet_dropped")) {
    return;
  }
  const ViewStamp view = host_.viewStamp();
  log_.write(LogLevel::Info, "flow", "packet_dropped",
             {{"flow", flowName(packet)},
              {"token", packet.token.value},
              {"reason", "token names no known backend"},
              {"revision", view.revision},
              {"view_age_ms", toMilliseconds(view.age)}});
}

void PacketRouter::onForward(const FlowPacket& packet, const ForwardDecision& forward) {
  const Backend& backend = *decider_.configuration()->backend(forward.backend);
  const FlowObservation observation = observe(packet, backend.id);
  if (isDead(packet, backend, observation)) {
    reset(packet, Reason::BackendGone);
    observer_.remove(packet.flow());
    return;
  }
  ++counters_.forwards;
  sender_.forwardPacket(backend, packet.token);
  if (packet.closes || packet.aborts) {
    observer_.remove(packet.flow());
  }
}

FlowObservation PacketRouter::observe(const FlowPacket& packet, BackendId backend) {
  const FlowObservation observation = observer_.onContinuation(packet, backend);
  if (observation.handshake > Duration::zero()) {
    host_.onHandshake(observation.handshake);
  }
  if (observation.begins_request) {
    host_.onRequest(backend);
  }
  if (observation.response > Duration::zero()) {
    host_.onResponse(backend, observation.response, observation.timing);
  }
  if (observation.evidence == FlowEvidence::Progress) {
    silence_.onProgress(backend, observation.retransmissions);
  } else if (observation.evidence == FlowEvidence::Silence) {
    silence_.onRetransmission(backend, packet.flow(), observation.retransmissions);
  }
  return observation;
}

bool PacketRouter::isDead(const FlowPacket& packet, const Backend& backend,
                          const FlowObservation& observation) {
  if (observation.evidence != FlowEvidence::Silence || !host_.resetsFlowsOfDeadBackends()) {
    return false;
  }
  const bool is_dead_locally =
      !host_.requiresPeerEvidence() &&
      observation.retransmissions >= silence_.retransmissionsToDeclareDead() &&
      silence_.isDead(backend.id);
  return is_dead_locally || isDeadByPeerEvidence(packet, backend, observation.retransmissions);
}

bool PacketRouter::isDeadByPeerEvidence(const FlowPacket& packet, const Backend& backend,
                                        std::uint16_t retransmissions) {
  const auto evidence = host_.peerDeathEvidence(backend.id, retransmissions);
  if (!evidence) {
    return false;
  }
  ++counters_.resets_by_peer_evidence;
  log_.write(LogLevel::Info, "flow", "backend_dead_by_others",
             {{"flow", flowName(packet)},
              {"backend", backend.name},
              {"backend_id", backend.id.value()},
              {"scope", evidence->is_whole_zone ? "zone" : "server"},
              {"repetitions", std::uint32_t{retransmissions}},
              {"reporters", static_cast<std::uint64_t>(evidence->reporters)},
              {"silent_flows", static_cast<std::uint64_t>(evidence->flows)},
              {"silent_ms", toMilliseconds(evidence->silent_for)}});
  return true;
}

void PacketRouter::reset(const FlowPacket& packet, Reason reason) {
  if (packet.aborts) {
    return;
  }
  ++counters_.resets_by_reason[static_cast<std::size_t>(reason)];
  sender_.resetClient(packet);
  if (!log_.wouldWrite(LogLevel::Info, "flow", "flow_reset")) {
    return;
  }
  const ViewStamp view = host_.viewStamp();
  log_.write(
      LogLevel::Info, "flow", "flow_reset",
      {{"flow", flowName(packet)},
       {"opening", packet.opens},
       {"reason", toString(reason)},
       {"backend_id", packet.opens ? 0U : tokens_.decode(packet.flow(), packet.token).value()},
       {"revision", view.revision},
       {"view_age_ms", toMilliseconds(view.age)}});
}

std::string flowName(const FlowPacket& packet) {
  return toString(packet.client) + ">" + toString(packet.service);
}

}  // namespace lugfork
