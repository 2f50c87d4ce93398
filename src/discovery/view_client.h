#pragma once

#include <unordered_map>

#include "common/random_generator.h"
#include "common/scheduler.h"
#include "discovery/view_assembly.h"

namespace lugfork {

/** Times of a ViewClient. */
struct ViewClientSettings {
  /** A request is sent again, or for the missing parts, where nothing came for so long. */
  Duration resend_interval = milliseconds(60);
  /**
   * Time for which a request that the peer has queued is left with it. Each sign that a peer with a
   * view keeps it begins it anew; one without a view may never get one.
   */
  Duration queued_timeout = milliseconds(200);
  /**
   * The same where the peer will surely have a view: another one has named it, or the fleet has
   * just started and all seeds read the store. At most ViewProviderSettings::queue_lifetime.
   */
  Duration expected_view_timeout = milliseconds(500);
  /** Time after the start for which that holds. */
  Duration fleet_start_window = milliseconds(1000);
  /** Who is queued asks again after so long, so that it keeps its place there. */
  Duration queue_renewal_interval = milliseconds(150);
  /** Time without an answer after which an exchange of peers has failed. */
  Duration exchange_timeout = milliseconds(450);
};

/** Reads other balancers' views by datagrams: requests, resends, and what was put together. */
class ViewClient : public PeerClient {
 public:
  using Send = std::function<void(Endpoint to, const ViewMessage&)>;

  /**
   * @param self this balancer, as others are to know it.
   * @param port of the datagrams, the same for all balancers of a fleet.
   */
  ViewClient(ViewClientSettings settings, KnownPeer self, std::uint16_t port, Send send,
             Scheduler& scheduler, const TimeSource& time_source, RandomGenerator& random);

  /** @param peer the balancer's control address. */
  void readView(Endpoint peer, Revision after, Duration timeout, ViewCallback callback) override;
  void exchangePeers(Endpoint peer, PeersCallback callback) override;

  /** Gets each whole view as it was told, before this balancer has made it its own. */
  using BodyCallback = std::function<void(Bytes body, const ViewStatus& status)>;
  void setWholeViewCallback(BodyCallback callback) { on_whole_view_ = std::move(callback); }

  void onPart(const ViewPart& part, Endpoint from);
  void onRefusal(const ViewRefusal& refusal, Endpoint from);
  void onPeersReply(const PeersReply& reply, Endpoint from);

  /** @return bodies that could not be read although all parts had come. */
  std::uint64_t malformedBodies() const { return malformed_bodies_; }

 private:
  /** A view that is being read. */
  struct PendingView {
    Endpoint peer;
    ViewRequest request;
    ViewCallback callback;
    ViewAssembly assembly;
    /** Time at which the peer counts as silent unless it gives a sign. */
    MonotonicTime deadline;
    Duration timeout{};
    bool is_queued = false;
    /** When a queued request is sent again. */
    MonotonicTime renew_at;
    /** A part has come since the last check. */
    bool has_progress = false;
    /** A part has come from this peer. */
    bool has_parts = false;
  };
  struct PendingExchange {
    Endpoint peer;
    PeersCallback callback;
  };

  void scheduleCheck(std::uint64_t id);
  void check(std::uint64_t id);
  /** Asks for what comes next, and for what was lost on the way, as a part's place shows it. */
  void requestMore(const PendingView& pending, std::uint32_t last_part);
  void requestMissing(const PendingView& pending, std::uint32_t window);
  void finish(PendingView& pending);
  /** Asks again for what is missing. */
  void resend(PendingView& pending);
  void fail(std::uint64_t id, PeerRefusal refusal);
  Duration queuedTimeout(const PendingView& pending) const;
  PendingView* findPending(std::uint64_t id, Endpoint from);

  const ViewClientSettings settings_;
  const KnownPeer self_;
  const std::uint16_t port_;
  const Send send_;
  /** The balancer that a peer with a view has named last. */
  Endpoint last_referral_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  const MonotonicTime started_at_;
  std::unordered_map<std::uint64_t, PendingView> views_;
  std::unordered_map<std::uint64_t, PendingExchange> exchanges_;
  BodyCallback on_whole_view_;
  /** Parts of a whole view whose sender failed; another one may have the rest of the same body. */
  ViewAssembly partial_assembly_;
  std::uint64_t malformed_bodies_ = 0;
};

}  // namespace lugfork
