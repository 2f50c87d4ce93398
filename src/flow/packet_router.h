#pragma once

#include <array>

#include "common/event_log.h"
#include "flow/flow_counters.h"
#include "flow/flow_decider.h"
#include "flow/flow_observer.h"
#include "flow/flow_packet.h"
#include "flow/shared_evidence.h"
#include "flow/silence_detector.h"

namespace lugfork {

/** Counters of the data path for packets with compact tokens since the start of the process. */
struct PacketCounters {
  std::uint64_t openings = 0;
  /** Openings placed on another backend because the first one did not answer. */
  std::uint64_t reopenings = 0;
  std::uint64_t forwards = 0;
  /** Packets of open flows whose token names no known backend. */
  std::uint64_t drops_unknown_backend = 0;
  /** Openings dropped because a retransmission of them may still be placed. */
  std::uint64_t drops_not_certain = 0;
  std::array<std::uint64_t, kReasonCount> resets_by_reason{};
  /** Open flows reset because of evidence reported by peers. */
  std::uint64_t resets_by_peer_evidence = 0;
};

/** State of the platform on which a decision was based. */
struct ViewStamp {
  std::uint64_t revision = 0;
  /** Time since the platform reported it. */
  Duration age{};
};

/** Interface of the packet router to the rest of the balancer. */
class PacketRouterHost : public FlowRouterHost {
 public:
  /** @return true if the view of routes and backends is certainly up to date. */
  virtual bool viewIsFresh() const = 0;

  /** @return false if backends may be missing from the view after an outage of the platform. */
  virtual bool backendListIsComplete() const = 0;

  /** @return true if open flows of dead backends are to be reset. */
  virtual bool resetsFlowsOfDeadBackends() const = 0;

  /** @return true if open flows are reset only on evidence from several balancers. */
  virtual bool requiresPeerEvidence() const { return false; }

  /**
   * @param retransmissions of a flow of the backend since its last progress.
   * @return the evidence from peers that the backend is dead, if there is enough of it.
   */
  virtual std::optional<DeathEvidence> peerDeathEvidence(BackendId /*backend*/,
                                                         std::uint16_t /*retransmissions*/) const {
    return std::nullopt;
  }

  /** @return the state of the platform in this balancer's view, for logs. */
  virtual ViewStamp viewStamp() const = 0;

  /** Called at the end of a flow's handshake with the time since its opening. */
  virtual void onHandshake(Duration duration) = 0;

  /** Called when the first data of a request is forwarded to a backend. */
  virtual void onRequest(BackendId backend) = 0;

  /**
   * Called when a backend has begun to answer a request.
   * @param duration time since the first packet of the request.
   * @param timing what the duration may be used for.
   */
  virtual void onResponse(BackendId backend, Duration duration, ResponseTiming timing) = 0;
};

/**
 * Data path of a balancer for packets with compact tokens. Openings are placed; every packet of an
 * open flow names its backend. Packets are dropped silently when the outcome is uncertain, since
 * clients retransmit them.
 */
class PacketRouter {
 public:
  PacketRouter(FlowDecider& decider, SilenceDetector& silence, FlowObserver& observer,
               const CompactTokenCodec& tokens, PacketSender& sender, PacketRouterHost& host,
               EventLog& log);

  void onPacket(const FlowPacket& packet);

  const PacketCounters& counters() const { return counters_; }

 private:
  void onOpening(const FlowPacket& packet);
  void onContinuation(const FlowPacket& packet);
  void onForward(const FlowPacket& packet, const ForwardDecision& forward);

  /** @return the backend that has not answered an earlier transmission of the opening, if any. */
  BackendId unresponsiveBackend(const FlowPacket& packet);
  /** @return true if every balancer would reject an opening for that reason. */
  bool isAuthoritative(Reason reason) const;
  void rejectOpening(const FlowPacket& packet, const PlacementRefusal& refusal);
  void reset(const FlowPacket& packet, Reason reason);
  /** Evaluates a packet as evidence about its backend. @return the observation. */
  FlowObservation observe(const FlowPacket& packet, BackendId backend);

  /**
   * @param observation of the packet: only a flow that retransmits is reset, since one that makes
   * progress may be answered through another balancer.
   * @return true if the backend of an open flow has certainly stopped answering.
   */
  bool isDead(const FlowPacket& packet, const Backend& backend, const FlowObservation& observation);
  /** The same by evidence from peers, which is logged. */
  bool isDeadByPeerEvidence(const FlowPacket& packet, const Backend& backend,
                            std::uint16_t retransmissions);

  FlowDecider& decider_;
  SilenceDetector& silence_;
  FlowObserver& observer_;
  const CompactTokenCodec& tokens_;
  PacketSender& sender_;
  PacketRouterHost& host_;
  EventLog& log_;
  PacketCounters counters_;
};

/** @return the name of the flow in logs: "client>service". */
std::string flowName(const FlowPacket& packet);

}  // namespace lugfork
