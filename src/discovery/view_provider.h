#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "common/scheduler.h"
#include "discovery/item_view.h"
#include "discovery/peer_directory.h"
#include "discovery/view_copy_queue.h"
#include "discovery/view_spread_plan.h"

namespace lugfork {

/** Settings of ViewProvider. */
struct ViewProviderSettings {
  /** Rate of this balancer's link [bytes/s]. */
  std::uint64_t link_bytes_per_s = 2'500'000;
  /**
   * Longest time that the link may need for the data already sent (75 KB at 20 Mbit/s). Beyond it
   * no new copy of a whole view starts, and a request for changes larger than one datagram is
   * referred to a peer that has just received them.
   */
  Duration max_backlog = milliseconds(30);
  /** Limit of requests that wait for this balancer's first view (some tens of bytes each). */
  std::size_t max_queued_requests = 1024;
  /** Time after which a requester has given up and tried another balancer (ViewClientSettings). */
  Duration queue_ttl = milliseconds(500);
  /**
   * Time for which an encoded view is reused. Encoding takes some tens of milliseconds of CPU time
   * on a small machine, and receivers poll for later changes anyway.
   */
  Duration body_ttl = milliseconds(500);
  /**
   * Time after this balancer's start during which requesters that wait for its first view are not
   * referred to a peer that has one. All seeds read the store at the same time; without the delay
   * the whole fleet would be referred to the first seed that finishes.
   */
  Duration referral_startup_delay = milliseconds(600);
  /** Interval at which waiting receivers are checked against the link's backlog. */
  Duration copy_retry_interval = milliseconds(10);
  ViewSpreadSettings spread;
  ViewCopyQueueSettings copy_queue;
  /** Limit of peers that recently received changes and to which others are referred. */
  std::size_t max_recent_receivers = 4;
  /** Time for which such a peer is kept. */
  Duration recent_receiver_ttl = seconds(2);
};

/** Gives access to the view that a ViewProvider serves. */
class ViewOwner {
 public:
  virtual ~ViewOwner() = default;
  virtual const ItemView& view() const = 0;
  virtual ViewStatus viewStatus() const = 0;
};

/** Counters of ViewProvider. */
struct ViewProviderCounters {
  std::uint64_t whole_views = 0;
  std::uint64_t changes = 0;
  /** Requests referred to a peer that has a copy or will have one earlier. */
  std::uint64_t referred = 0;
  /** Receivers that waited for the first view or for their copy; each is counted once. */
  std::uint64_t queued = 0;
  std::uint64_t history_unknown = 0;
  std::uint64_t bytes = 0;
};

/**
 * Serves this balancer's view to its peers. Requests for a whole view are queued until the view is
 * complete. Whole views are sent as ViewSpreadPlan decides, a few at a time (ViewCopyQueue). Large
 * changes are relayed by the peers that receive them first. The load is limited by the link's rate:
 * without the limit 32 followers requested 33 KB each, again every 60 ms, and saturated a link of
 * 10 Mbit/s for seconds.
 */
class ViewProvider {
 public:
  using Send = std::function<void(Endpoint to, const ViewMessage&)>;

  ViewProvider(ViewProviderSettings settings, const ViewOwner& owner, PeerDirectory& directory,
               Scheduler& scheduler, const TimeSource& time_source, Send send);

  /** @param reply_to the requester's socket; the request carries its control address. */
  void onRequest(const ViewRequest& request, Endpoint reply_to);
  void onPeersRequest(const PeersRequest& request, Endpoint reply_to);

  /** Called once the view can be served; answers queued requests. */
  void onViewReady();

  /**
   * Serves a whole view received from a peer, unchanged, until this balancer's own view is ready.
   * Applying it first would add some tens of milliseconds at each level of the distribution tree.
   */
  void adopt(Bytes body, const ViewStatus& status);

  const ViewProviderCounters& counters() const { return counters_; }

 private:
  struct QueuedRequest {
    ViewCopyQueue::Receiver receiver;
    MonotonicTime requested_at;
  };
  /** Peer that a receiver was referred to; repeated if the request is retransmitted. */
  struct Referral {
    std::uint64_t request = 0;
    Endpoint sender;
  };
  /** A peer that has recently received a large change. */
  struct RecentReceiver {
    Endpoint balancer;
    MonotonicTime received_at;
  };

  /** @return the status of the adopted view if there is one, else of this balancer's view. */
  ViewStatus status() const;
  /** @return the body's status with its age updated to the current time. */
  ViewStatus statusOf(const WholeBody& body) const;
  void answerQueue();
  void enqueue(const ViewRequest& request, Endpoint reply_to);
  void answerWholeView(const ViewCopyQueue::Receiver& receiver);
  void continueCopy(const ViewCopyQueue::Receiver& receiver, const WholeBody& body);
  void planCopy(const ViewCopyQueue::Receiver& receiver);
  /** Starts copies while the backlog permits, and schedules a retry while others wait. */
  void startCopies();
  WholeBodyPtr wholeBody();

  /**
   * Sends the changes after the requested revision. Refuses if the history does not reach back that
   * far: sending the whole view to each follower would saturate the link.
   */
  void answerChanges(const ViewRequest& request, Endpoint reply_to);
  void refuseChanges(const ViewRequest& request, Endpoint reply_to);
  void sendParts(const ViewRequest& request, const ViewStatus& body_status, const Bytes& body,
                 std::uint64_t hash, Endpoint reply_to);
  void refer(const ViewRequest& request, Endpoint reply_to, Endpoint other);
  /** @return a peer that has recently received a large change; unset if there is none. */
  Endpoint nextRecentReceiver(Endpoint requester);
  /** @return time that the link needs for the data already sent. */
  Duration backlog() const;
  void addToBacklog(std::size_t bytes);
  void addRecentReceiver(Endpoint balancer);
  void expireRecentReceivers();

  const ViewProviderSettings settings_;
  const ViewOwner& owner_;
  PeerDirectory& directory_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  const Send send_;
  const MonotonicTime started_at_;
  /** Requests that wait for this balancer's first view; later ones wait in copy_queue_. */
  std::unordered_map<Endpoint, QueuedRequest> queue_;
  ViewSpreadPlan plan_;
  ViewCopyQueue copy_queue_;
  std::unordered_map<Endpoint, Referral> referrals_;
  bool retry_scheduled_ = false;
  std::deque<RecentReceiver> recent_receivers_;
  std::size_t next_recent_receiver_ = 0;
  MonotonicTime link_busy_until_;
  /** The whole view as last encoded or adopted; nullptr if there is none. */
  WholeBodyPtr whole_body_;
  /** True while a peer's view is served in place of this balancer's own. */
  bool has_adopted_ = false;
  ViewProviderCounters counters_;
};

}  // namespace lugfork
