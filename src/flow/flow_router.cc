#include "flow/flow_router.h"

#include <limits>

#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

/** @return true if another backend may accept the request at once after such a refusal. */
bool mayRetryAfter(Reason reason) {
  return reason == Reason::Overloaded || reason == Reason::Draining ||
         reason == Reason::PlacementExpired;
}

}  // namespace

FlowRouter::FlowRouter(FlowRouterSettings settings, const TimeSource& time_source,
                       DatagramSender& sender, PlacementEngine& placement, BackendLoadTable& loads,
                       FlowRouterHost& host)
    : settings_(settings),
      time_source_(time_source),
      sender_(sender),
      placement_(placement),
      loads_(loads),
      host_(host),
      decider_(settings, time_source, placement, host) {}

void FlowRouter::setConfiguration(ConfigurationViewPtr configuration) {
  decider_.setConfiguration(std::move(configuration));
}

void FlowRouter::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  const auto decoded = decodeDatagram(bytes);
  if (!decoded) {
    ++counters_.drops_by_codec_error[static_cast<std::size_t>(decoded.error())];
    return;
  }
  if (const auto* sprayed = std::get_if<Sprayed>(&decoded.value())) {
    onSprayed(*sprayed);
  } else if (const auto* refusal = std::get_if<BackendRefusal>(&decoded.value())) {
    onBackendRefusal(*refusal, from);
  } else {
    onClientDatagram(decoded.value(), bytes, from);
  }
}

void FlowRouter::onSprayed(const Sprayed& sprayed) {
  const auto decoded = decodeDatagram(sprayed.datagram);
  if (!decoded) {
    ++counters_.drops_by_codec_error[static_cast<std::size_t>(decoded.error())];
    return;
  }
  onClientDatagram(decoded.value(), sprayed.datagram, sprayed.client);
}

void FlowRouter::onClientDatagram(const Datagram& datagram, std::span<const std::uint8_t> bytes,
                                  Endpoint client) {
  if (const auto* open = std::get_if<Open>(&datagram)) {
    onOpen(*open, client);
  } else if (const auto* data = std::get_if<Data>(&datagram)) {
    forwardDatagram(*data, bytes, client);
  } else if (const auto* ack = std::get_if<AnswerAck>(&datagram)) {
    forwardDatagram(*ack, bytes, client);
  } else if (const auto* cancel = std::get_if<Cancel>(&datagram)) {
    forwardDatagram(*cancel, bytes, client);
  } else {
    ++counters_.drops_unexpected_type;
  }
}

void FlowRouter::onOpen(const Open& open, Endpoint client) {
  const auto decision = decider_.decideOpening({open.key.flow, open.service, BackendId()});
  if (!decision) {
    rejectOpen(client, open.key, decision.error().reason, decision.error().retry_after);
    return;
  }
  const auto& [service, backend] = decision.value();
  ++counters_.placements;
  retryBudgetOf(service->id).onFirstAttempt();
  sender_.sendDatagram(client, Placed{open.key, sealPlacement(open.key, *service, *backend)});
}

void FlowRouter::recordProgress(const AnswerAck& ack, BackendId backend) {
  if (ack.next_expected > 0) {
    placement_.onBackendProgress(backend);
  }
}

template <typename TokenDatagram>
void FlowRouter::forwardDatagram(const TokenDatagram& datagram, std::span<const std::uint8_t> bytes,
                                 Endpoint client) {
  const ContinuationDecision decision =
      decider_.decideContinuation({datagram.key, datagram.service, SealedToken{datagram.token}});
  if (std::holds_alternative<DropDecision>(decision)) {
    ++counters_.drops_configuration_behind;
    return;
  }
  if (const auto* refused = std::get_if<ResetDecision>(&decision)) {
    reset(client, datagram.key, refused->reason);
    return;
  }
  const auto& forward = std::get<ForwardDecision>(decision);
  recordProgress(datagram, forward.backend);
  ++(forward.mode == ForwardMode::MayStart ? counters_.forwards : counters_.forwards_continue_only);
  sender_.sendDatagram(forward.destination,
                       Forward{client, forward.backend, forward.service, forward.mode,
                               Bytes(bytes.begin(), bytes.end())});
}

void FlowRouter::onBackendRefusal(const BackendRefusal& refusal, Endpoint from) {
  const Backend* backend = decider_.configuration() == nullptr
                               ? nullptr
                               : decider_.configuration()->backend(refusal.backend);
  if (backend != nullptr) {
    if (backend->address != from || backend->service != refusal.service) {
      ++counters_.drops_unverified_refusal;
      return;
    }
    recordRefusal(refusal, *backend);
  }
  forwardRefusal(refusal);
}

void FlowRouter::recordRefusal(const BackendRefusal& refusal, const Backend& backend) {
  placement_.onBackendRefusal(backend, refusal.key, refusal.reason);
  if (refusal.reason == Reason::Draining) {
    loads_.onDrainingRefusal(refusal.backend);
    host_.onBackendDraining(refusal.backend);
  } else if (refusal.reason == Reason::Overloaded) {
    loads_.onRefusal(refusal.backend, milliseconds(refusal.retry_after_ms));
  }
}

void FlowRouter::forwardRefusal(const BackendRefusal& refusal) {
  if (!refusal.not_run) {
    reset(refusal.client, refusal.key, refusal.reason);
    return;
  }
  TokenBytes replacement;
  const Service* service = decider_.configuration() == nullptr
                               ? nullptr
                               : decider_.configuration()->service(refusal.service);
  if (service != nullptr && mayRetryAfter(refusal.reason)) {
    replacement = placeRetry(refusal, *service);
  }
  ++counters_.refusals_by_reason[static_cast<std::size_t>(refusal.reason)];
  sender_.sendDatagram(refusal.client, Refused{refusal.key, refusal.reason, refusal.retry_after_ms,
                                               std::move(replacement), RefusalScope::Attempt});
}

TokenBytes FlowRouter::placeRetry(const BackendRefusal& refusal, const Service& service) {
  const bool attempts_left = refusal.key.attempt < std::numeric_limits<std::uint8_t>::max();
  if (!attempts_left || host_.placementBlockedBy() != Reason::None) {
    return {};
  }
  RecentReplacement& recent =
      recent_replacements_[std::hash<FlowKey>{}(refusal.key) % recent_replacements_.size()];
  if (recent.refused == refusal.key && !recent.token.empty()) {
    return recent.token;
  }
  if (!retryBudgetOf(service.id).tryTake()) {
    ++counters_.replacements_over_budget;
    return {};
  }
  const auto placed =
      placement_.place(service, refusal.key.flow, FlowVolume::Small, refusal.backend);
  if (!placed) {
    return {};
  }
  ++counters_.replacements;
  FlowKey next_attempt = refusal.key;
  ++next_attempt.attempt;
  recent = {refusal.key, sealPlacement(next_attempt, service, *placed.value())};
  return recent.token;
}

RetryBudget& FlowRouter::retryBudgetOf(ServiceId service) {
  return retry_budgets_.try_emplace(service, settings_.retry_budget, time_source_).first->second;
}

TokenBytes FlowRouter::sealPlacement(const FlowKey& key, const Service& service,
                                     const Backend& backend) {
  Placement placement;
  placement.key = key;
  placement.service = service.id;
  placement.backend = backend.id;
  placement.zone = backend.zone;
  placement.backend_address = backend.address;
  placement.config_version = decider_.configuration()->version();
  placement.placed_at = time_source_.systemTime();
  return sealToken(placement, *decider_.configuration()->sealingKey());
}

void FlowRouter::rejectOpen(Endpoint client, const FlowKey& key, Reason reason,
                            Duration retry_after) {
  ++counters_.refusals_by_reason[static_cast<std::size_t>(reason)];
  sender_.sendDatagram(client, Refused{key, reason, toWireMilliseconds(retry_after), TokenBytes(),
                                       RefusalScope::Placement});
}

void FlowRouter::reset(Endpoint client, const FlowKey& key, Reason reason) {
  ++counters_.resets_by_reason[static_cast<std::size_t>(reason)];
  sender_.sendDatagram(client, Reset{key, reason, toWireMilliseconds(settings_.retry_after)});
}

}  // namespace lugfork
