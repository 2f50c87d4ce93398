#pragma once

#include <unordered_map>

#include "common/random_generator.h"
#include "common/scheduler.h"
#include "discovery/view_assembly.h"

namespace lugfork {

/** Settings of ViewClient. */
struct ViewClientSettings {
  /** Time without progress after which a request is resent, for the missing parts only. */
  Duration resend_interval = milliseconds(60);
  /**
   * Longest wait for a request that the peer has queued. It starts anew with each confirmation from
   * a peer that has a view, but not from one without: that peer may never get a view.
   */
  Duration queued_timeout = milliseconds(200);
  /**
   * The same for a peer that is expected to have a view soon: another peer has referred to it, or
   * the fleet has just started and all seeds read the store. At most
   * ViewProviderSettings::queue_ttl.
   */
  Duration expected_view_timeout = milliseconds(500);
  /** Time after this balancer's start in which the fleet counts as just started. */
  Duration fleet_start_window = milliseconds(1000);
  /** Interval at which a queued request is resent to keep its place in the peer's queue. */
  Duration queue_renewal_interval = milliseconds(150);
  /** Time without an answer after which an exchange of peer addresses fails. */
  Duration exchange_timeout = milliseconds(450);
};

/** Reads peers' views over datagrams: sends requests, resends them and reassembles the parts. */
class ViewClient : public PeerClient {
 public:
  using Send = std::function<void(Endpoint to, const ViewMessage&)>;

  /**
   * @param self this balancer as announced to its peers.
   * @param port UDP port for these datagrams, the same for all balancers of a fleet.
   */
  ViewClient(ViewClientSettings settings, PeerInfo self, std::uint16_t port, Send send,
             Scheduler& scheduler, const TimeSource& time_source, RandomGenerator& random);

  /** @param peer the balancer's control address. */
  void readView(Endpoint peer, Revision after, Duration timeout, ViewCallback callback) override;
  void exchangePeers(Endpoint peer, PeersCallback callback) override;

  /** Called with the encoded body of each whole view received, before the view is applied. */
  using BodyCallback = std::function<void(Bytes body, const ViewStatus& status)>;
  void setWholeViewCallback(BodyCallback callback) { on_whole_view_ = std::move(callback); }

  void onPart(const ViewPart& part, Endpoint from);
  void onRefusal(const ViewRefusal& refusal, Endpoint from);
  void onPeersReply(const PeersReply& reply, Endpoint from);

  /** @return number of bodies that could not be decoded although all parts had arrived. */
  std::uint64_t malformedBodies() const { return malformed_bodies_; }

 private:
  /** A read of a view in progress. */
  struct PendingView {
    Endpoint peer;
    ViewRequest request;
    ViewCallback callback;
    ViewAssembly assembly;
    /** Time at which the read fails unless the peer responds before. */
    MonotonicTime deadline;
    Duration timeout{};
    bool is_queued = false;
    /** Time at which a queued request is resent. */
    MonotonicTime renew_at;
    /** A part has arrived since the last check. */
    bool has_progress = false;
    /** A part has arrived from this peer. */
    bool has_parts = false;
  };
  struct PendingExchange {
    Endpoint peer;
    PeersCallback callback;
  };

  void scheduleCheck(std::uint64_t id);
  void check(std::uint64_t id);
  /**
   * Requests the next window of parts and those that were lost, depending on the position of the
   * last part received.
   */
  void requestMore(const PendingView& pending, std::uint32_t last_part);
  void requestMissing(const PendingView& pending, std::uint32_t window);
  void finish(PendingView& pending);
  /** Resends the request for the missing parts. */
  void resend(PendingView& pending);
  void fail(std::uint64_t id, PeerRefusal refusal);
  Duration queuedTimeout(const PendingView& pending) const;
  PendingView* findPending(std::uint64_t id, Endpoint from);

  const ViewClientSettings settings_;
  const PeerInfo self_;
  const std::uint16_t port_;
  const Send send_;
  /** Balancer that a peer with a view last referred this one to. */
  Endpoint last_referral_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  const MonotonicTime started_at_;
  std::unordered_map<std::uint64_t, PendingView> views_;
  std::unordered_map<std::uint64_t, PendingExchange> exchanges_;
  BodyCallback on_whole_view_;
  /** Parts of a whole view whose sender failed; another sender may have the same body. */
  ViewAssembly partial_assembly_;
  std::uint64_t malformed_bodies_ = 0;
};

}  // namespace lugfork
