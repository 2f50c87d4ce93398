#pragma once

#include <span>
#include <variant>

#include "common/result.h"
#include "common/time_source.h"
#include "config/configuration.h"
#include "flow/compact_token.h"
#include "flow/placement_engine.h"
#include "flow/token.h"
#include "load/admission_control.h"
#include "wire/datagram.h"

namespace lugfork {

/** Interface of the data path to the rest of the balancer. */
class FlowRouterHost {
 public:
  virtual ~FlowRouterHost() = default;

  /** @return Reason::None if this balancer may place new flows now, else the reason why not. */
  virtual Reason placementBlockedBy() const = 0;

  /** Called when a token implies that a newer configuration is in force on other balancers. */
  virtual void onNewerConfigurationSeen(ConfigVersion version) = 0;

  /** Called when a backend has reported in a refusal that it is draining. */
  virtual void onBackendDraining(BackendId backend) = 0;
};

/** Settings of FlowDecider. */
struct FlowDeciderSettings {
  /** Time after a placement within which its token may start work. */
  Duration placement_ttl = seconds(3);
  /** Retry delay sent to clients when this balancer can't place flows. */
  Duration retry_after = seconds(1);
};

/** Request of a client for a new flow. */
struct FlowOpening {
  FlowId flow;
  Endpoint service;
  /** Backend that did not answer an earlier transmission of the opening; unset for none. */
  BackendId excluded;
  /** A retransmission may belong to an accepted flow, so admission control is skipped. */
  bool is_retransmission = false;
};

/** Placement of a new flow. Both pointers are valid while the configuration is in force. */
struct OpeningPlacement {
  const Service* service = nullptr;
  const Backend* backend = nullptr;
};

/** Bytes of a token with its content and a seal. */
struct SealedToken {
  std::span<const std::uint8_t> bytes;
};

/** Token of either form, as carried by a message of an open flow. */
using AnyToken = std::variant<SealedToken, CompactToken>;

/** Any message of a flow except its opening; closing messages are not treated differently. */
struct FlowContinuation {
  FlowKey key;
  /** Service address to which the message was sent. */
  Endpoint service;
  AnyToken token;
};

/** The message is forwarded to the backend. */
struct ForwardDecision {
  Endpoint destination;
  BackendId backend;
  ServiceId service;
  ForwardMode mode = ForwardMode::MayStart;
};

/** The flow certainly can't continue; the client gets a reset. */
struct ResetDecision {
  Reason reason = Reason::None;
};

/** Why a message is dropped; the client retransmits it. */
enum class DropCause {
  /** No configuration has been received yet, or the token requires a newer one. */
  ConfigurationBehind,
  /**
   * The compact token names no known backend: it is foreign, or the backend was removed before this
   * balancer started.
   */
  UnknownBackend,
};

/** The outcome is uncertain, so the message is dropped. */
struct DropDecision {
  DropCause cause = DropCause::ConfigurationBehind;
};

using ContinuationDecision = std::variant<ForwardDecision, ResetDecision, DropDecision>;

/**
 * Decides how the messages of a flow are handled, independent of the protocol. Stateless per flow:
 * decisions depend only on the token and the configuration in force.
 */
class FlowDecider {
 public:
  FlowDecider(FlowDeciderSettings settings, const TimeSource& time_source,
              PlacementEngine& placement, FlowRouterHost& host);

  void setConfiguration(ConfigurationViewPtr configuration);

  /** Applies in-place changes of the configuration in force. */
  void onConfigurationChanged(const ConfigurationChanges& changes) {
    placement_.onConfigurationChanged(changes);
  }
  const ConfigurationView* configuration() const { return configuration_.get(); }

  /** Sets the codec of compact tokens; without one no compact token names a backend. */
  void setCompactTokens(const CompactTokenCodec* codec) { compact_tokens_ = codec; }

  /** Sets the admission control of new flows; without it all are admitted. */
  void setAdmission(AdmissionControl* admission) { admission_ = admission; }

  Result<OpeningPlacement, PlacementRefusal> decideOpening(const FlowOpening& opening);
  ContinuationDecision decideContinuation(const FlowContinuation& continuation);

 private:
  ContinuationDecision decideSealed(const SealedToken& token, const FlowContinuation& continuation);
  ContinuationDecision decideCompact(CompactToken token, const FlowContinuation& continuation);
  ContinuationDecision onTokenError(TokenError error);

  /**
   * Checks a placement against the configuration in force.
   * @return the address to forward to, or the reason of the reset.
   */
  Result<Endpoint, Reason> resolveBackend(const Placement& placement,
                                          Endpoint addressed_service) const;

  /** @return true if another backend has the address now. */
  bool isAddressReused(Endpoint address) const;
  ForwardMode forwardModeOf(const Placement& placement) const;

  const FlowDeciderSettings settings_;
  const TimeSource& time_source_;
  PlacementEngine& placement_;
  FlowRouterHost& host_;
  const CompactTokenCodec* compact_tokens_ = nullptr;
  AdmissionControl* admission_ = nullptr;
  ConfigurationViewPtr configuration_;
};

}  // namespace lugfork
