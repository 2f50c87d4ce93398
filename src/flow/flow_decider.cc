#include "flow/flow_decider.h"

#include <xxhash.h>

namespace lugfork {

namespace {

std::uint64_t hashOf(const FlowId& flow) {
  const std::uint64_t content[] = {flow.high, flow.low};
  return XXH3_64bits(content, sizeof(content));
}

}  // namespace

FlowDecider::FlowDecider(FlowDeciderSettings settings, const TimeSource& time_source,
                         PlacementEngine& placement, FlowRouterHost& host)
    : settings_(settings), time_source_(time_source), placement_(placement), host_(host) {}

void FlowDecider::setConfiguration(ConfigurationViewPtr configuration) {
  placement_.setConfiguration(configuration);
  configuration_ = std::move(configuration);
}

Result<OpeningPlacement, PlacementRefusal> FlowDecider::decideOpening(const FlowOpening& opening) {
  const Reason blocked_by = host_.placementBlockedBy();
  if (blocked_by != Reason::None || configuration_ == nullptr) {
    const Reason reason = blocked_by == Reason::None ? Reason::Joining : blocked_by;
    return PlacementRefusal{reason, settings_.retry_after};
  }
  const Route* route = configuration_->routeAt(opening.service);
  if (route == nullptr) {
    return PlacementRefusal{Reason::UnknownService, settings_.retry_after};
  }
  const auto target = route->serviceFor(hashOf(opening.flow));
  const Service* service = target ? configuration_->service(*target) : nullptr;
  if (service == nullptr) {
    return PlacementRefusal{Reason::NoBackendInAllowedZones, settings_.retry_after};
  }
  const bool is_rejected = admission_ != nullptr && !opening.is_retransmission &&
                           !admission_->admits(*service, route->request_class, opening.flow);
  if (is_rejected) {
    return PlacementRefusal{Reason::Overloaded, settings_.retry_after, true};
  }
  const FlowVolume volume = route->bulk ? FlowVolume::Bulk : FlowVolume::Small;
  const auto placed = placement_.place(*service, opening.flow, volume, opening.excluded);
  if (!placed) {
    return placed.error();
  }
  return OpeningPlacement{service, placed.value()};
}

ContinuationDecision FlowDecider::decideContinuation(const FlowContinuation& continuation) {
  if (configuration_ == nullptr) {
    return DropDecision{DropCause::ConfigurationBehind};
  }
  if (const auto* sealed = std::get_if<SealedToken>(&continuation.token)) {
    return decideSealed(*sealed, continuation);
  }
  return decideCompact(std::get<CompactToken>(continuation.token), continuation);
}

ContinuationDecision FlowDecider::decideSealed(const SealedToken& token,
                                               const FlowContinuation& continuation) {
  const auto opened = openToken(token.bytes, continuation.key, *configuration_);
  if (!opened) {
    return onTokenError(opened.error());
  }
  const Placement& placement = opened.value();
  const bool behind = placement.config_version > configuration_->version();
  if (behind) {
    host_.onNewerConfigurationSeen(placement.config_version);
  }
  const auto destination = resolveBackend(placement, continuation.service);
  if (!destination && behind) {
    // The local configuration may be outdated; the client retransmits.
    return DropDecision{DropCause::ConfigurationBehind};
  }
  if (!destination) {
    return ResetDecision{destination.error()};
  }
  return ForwardDecision{destination.value(), placement.backend, placement.service,
                         forwardModeOf(placement)};
}

ContinuationDecision FlowDecider::decideCompact(CompactToken token,
                                                const FlowContinuation& continuation) {
  const Backend* backend =
      compact_tokens_ == nullptr
          ? nullptr
          : configuration_->backend(compact_tokens_->decode(continuation.key.flow, token));
  if (backend == nullptr) {
    return DropDecision{DropCause::UnknownBackend};
  }
  if (backend->retired && isAddressReused(backend->address)) {
    return ResetDecision{Reason::BackendGone};
  }
  return ForwardDecision{backend->address, backend->id, backend->service, ForwardMode::MayStart};
}

ContinuationDecision FlowDecider::onTokenError(TokenError error) {
  if (error == TokenError::UnknownKey) {
    // The key may belong to a configuration that has not been received yet.
    host_.onNewerConfigurationSeen(ConfigVersion(configuration_->version().value() + 1));
    return DropDecision{DropCause::ConfigurationBehind};
  }
  return ResetDecision{Reason::TokenInvalid};
}

Result<Endpoint, Reason> FlowDecider::resolveBackend(const Placement& placement,
                                                     Endpoint addressed_service) const {
  const Service* service = configuration_->service(placement.service);
  if (service == nullptr || service->address != addressed_service) {
    return Reason::TokenForOtherService;
  }
  if (!service->allowsZone(placement.zone)) {
    return Reason::ZoneNotAllowed;
  }
  const Backend* declared = configuration_->backend(placement.backend);
  if (declared != nullptr) {
    const bool same_location = declared->service == placement.service &&
                               declared->zone == placement.zone &&
                               declared->address == placement.backend_address;
    if (!same_location) {
      return Reason::BackendGone;
    }
    return declared->address;
  }
  // The backend is not declared, or no longer: established flows continue unless another backend
  // has its address now. The backend checks its id itself as well.
  if (isAddressReused(placement.backend_address)) {
    return Reason::BackendGone;
  }
  return placement.backend_address;
}

bool FlowDecider::isAddressReused(Endpoint address) const {
  return configuration_->backendAt(address) != nullptr;
}

ForwardMode FlowDecider::forwardModeOf(const Placement& placement) const {
  const Duration age = time_source_.systemTime() - placement.placed_at;
  return age <= settings_.placement_ttl ? ForwardMode::MayStart : ForwardMode::ContinueOnly;
}

}  // namespace lugfork
