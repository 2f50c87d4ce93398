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

/** What the data path asks of, and tells, the rest of the node. */
class FlowRouterHost {
 public:
  virtual ~FlowRouterHost() = default;

  /** @return Reason::None if this node may place new flows now, else why not. */
  virtual Reason placementBlockedBy() const = 0;

  /** A token shows that a newer configuration is in force elsewhere. */
  virtual void onNewerConfigurationSeen(ConfigVersion version) = 0;

  /** A back end said in a refusal that it is leaving. */
  virtual void onBackendDraining(BackendId backend) = 0;
};

/** Tunables of flow decisions. */
struct FlowDeciderSettings {
  /** Time after a placement in which its token may start work. */
  Duration placement_ttl = seconds(3);
  /** Time that callers are told to wait when this node can't place. */
  Duration retry_after = seconds(1);
};

/** A caller asks for a new flow. */
struct FlowOpening {
  FlowId flow;
  Endpoint service;
  /** Back end that did not answer an earlier copy of the opening; unset for none. */
  BackendId excluded;
  /** A copy may belong to a flow that a server has already taken: admission is not asked. */
  bool is_retransmission = false;
};

/** Where a new flow goes. Both pointers live as long as the configuration in force. */
struct OpeningPlacement {
  const Service* service = nullptr;
  const Backend* backend = nullptr;
};

/** Token with its content and a seal. */
struct SealedToken {
  std::span<const std::uint8_t> bytes;
};

/** Token of either form, as a message of an open flow carries it. */
using AnyToken = std::variant<SealedToken, CompactToken>;

/** Any message of a flow but its opening; those that close a flow are treated like the others. */
struct FlowContinuation {
  FlowKey key;
  /** Service address that the message was sent to. */
  Endpoint service;
  AnyToken token;
};

/** The message goes on to the back end. */
struct ForwardDecision {
  Endpoint destination;
  BackendId backend;
  ServiceId service;
  ForwardMode mode = ForwardMode::MayStart;
};

/** The flow surely can't go on: the caller is told. */
struct ResetDecision {
  Reason reason = Reason::None;
};

/** Why nothing is done; the caller sends again. */
enum class DropCause {
  /** No configuration has arrived yet, or the token needs a newer one. */
  ConfigurationBehind,
  /** The compact token names nobody known here: foreign, or of a back end from before our start. */
  UnknownBackend,
};

/** Nothing is certain: the message is dropped. */
struct DropDecision {
  DropCause cause = DropCause::ConfigurationBehind;
};

using ContinuationDecision = std::variant<ForwardDecision, ResetDecision, DropDecision>;

/**
 * Decides what becomes of a flow's messages, whichever protocol brought them. Keeps no state for a
 * flow: everything that it needs stands in the token and in the configuration in force.
 */
class FlowDecider {
 public:
  FlowDecider(FlowDeciderSettings settings, const TimeSource& time_source,
              PlacementEngine& placement, FlowRouterHost& host);

  void setConfiguration(ConfigurationViewPtr configuration);

  /** The configuration in force has changed in place. */
  void onConfigurationChanged(const ConfigurationChanges& changes) {
    placement_.onConfigurationChanged(changes);
  }
  const ConfigurationView* configuration() const { return configuration_.get(); }

  /** Sets the codec of compact tokens; without one all of them name nobody. */
  void setCompactTokens(const CompactTokenCodec* codec) { compact_tokens_ = codec; }

  /** Sets who is asked for each new flow; without it all are admitted. */
  void setAdmission(AdmissionControl* admission) { admission_ = admission; }

  Result<OpeningPlacement, PlacementRefusal> decideOpening(const FlowOpening& opening);
  ContinuationDecision decideContinuation(const FlowContinuation& continuation);

 private:
  ContinuationDecision decideSealed(const SealedToken& token, const FlowContinuation& continuation);
  ContinuationDecision decideCompact(CompactToken token, const FlowContinuation& continuation);
  ContinuationDecision onTokenError(TokenError error);

  /**
   * Checks a placement against the configuration in force.
   * @return where to forward, or the reason of the reset that the placement calls for.
   */
  Result<Endpoint, Reason> resolveBackend(const Placement& placement,
                                          Endpoint addressed_service) const;

  /** @return true where another back end has the address now. */
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
