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

/** Counts of the data path for packets with compact tokens since the start of the process. */
struct PacketCounters {
  std::uint64_t openings = 0;
  /** Openings sent to another back end because the first did not answer. */
  std::uint64_t reopenings = 0;
  std::uint64_t forwards = 0;
  /** Packets of open flows whose token names nobody known here. */
  std::uint64_t drops_unknown_backend = 0;
  /** Openings that were neither placed nor refused, because this node is not certain. */
  std::uint64_t drops_not_certain = 0;
  std::array<std::uint64_t, kReasonCount> resets_by_reason{};
  /** Open flows reset by what others have seen of their back ends. */
  std::uint64_t resets_by_peer_evidence = 0;
};

/** Which state of the platform a decision was made by. */
struct ViewStamp {
  std::uint64_t revision = 0;
  /** Time since the platform told it. */
  Duration age{};
};

/** What the packet router asks of the rest of the node. */
class PacketRouterHost : public FlowRouterHost {
 public:
  /** @return true where what this node knows of routes and back ends is surely the newest. */
  virtual bool viewIsFresh() const = 0;

  /** @return false where back ends may be missing from what is known, since the platform was away.
   */
  virtual bool backendListIsComplete() const = 0;

  /** @return true where open flows of a back end that is surely dead are to be reset. */
  virtual bool resetsFlowsOfDeadBackends() const = 0;

  /** @return true where open flows are reset only by what several balancers have seen. */
  virtual bool requiresPeerEvidence() const { return false; }

  /**
   * @param repetitions of a flow of the back end since its last progress.
   * @return why the back end is surely dead by what others have seen, or nothing.
   */
  virtual std::optional<DeathEvidence> peerDeathEvidence(BackendId /*backend*/,
                                                         std::uint16_t /*retransmissions*/) const {
    return std::nullopt;
  }

  /** @return which state of the platform this node knows, for logs. */
  virtual ViewStamp viewStamp() const = 0;

  /** A flow's handshake has ended, that long after its opening. */
  virtual void onHandshake(Duration duration) = 0;

  /** A request's first data goes to a back end. */
  virtual void onRequest(BackendId backend) = 0;

  /**
   * A back end has begun to answer a request, that long after the request's first packet.
   * @param timing what the time is good for.
   */
  virtual void onResponse(BackendId backend, Duration duration, ResponseTiming timing) = 0;
};

/**
 * The data path of a balancer for packets with compact tokens. Every packet of an open flow names
 * its back end; an opening is placed. Silent where it is not certain, since the caller sends again.
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

  /** @return the back end that got an earlier copy of the opening and did not answer, or none. */
  BackendId unresponsiveBackend(const FlowPacket& packet);
  /** @return true where a refusal for that reason would be the same at every node. */
  bool isAuthoritative(Reason reason) const;
  void rejectOpening(const FlowPacket& packet, const PlacementRefusal& refusal);
  void reset(const FlowPacket& packet, Reason reason);
  /** @return what the packet shows. */
  FlowObservation observe(const FlowPacket& packet, BackendId backend);

  /**
   * @param observation of the packet: only a flow that repeats itself is reset, since one that goes
   * on may be answered by way of another balancer.
   * @return true where the back end of an open flow surely does not answer any more.
   */
  bool isDead(const FlowPacket& packet, const Backend& backend, const FlowObservation& observation);
  /** The same by what others have seen, which is logged. */
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

/** @return the flow as logs name it: "caller>service". */
std::string flowName(const FlowPacket& packet);

}  // namespace lugfork
