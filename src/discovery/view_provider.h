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

/** Tunables of a ViewProvider. */
struct ViewProviderSettings {
  /** Rate of this balancer's own link [bytes/s]. */
  std::uint64_t link_bytes_per_s = 2'500'000;
  /**
   * Time for which what was sent may fill the link: no copy of a view begins beyond that, and who
   * asks for changes of more than a datagram is sent to those that have just got theirs (chosen: at
   * 20 Mbit/s 75 KB).
   */
  Duration max_backlog = milliseconds(30);
  /** Requests that wait for this balancer's first view at most (some tens of bytes each). */
  std::size_t max_queued_requests = 1024;
  /** Time after which who asked has turned to another balancer (ViewClientSettings). */
  Duration queue_ttl = milliseconds(500);
  /**
   * Time for which an encoded view is used again: to make it anew takes some tens of milliseconds
   * of a small machine's processor, and who gets it polls for what has changed since.
   */
  Duration body_ttl = milliseconds(500);
  /**
   * Time after this balancer's start in which nobody who waits for its first view is sent to
   * another one that shows a view: all seeds read the store at once, and the first one to have it
   * shall not be sent the whole fleet.
   */
  Duration referral_startup_delay = milliseconds(600);
  /** Time after which is looked again whether the link has room for those that wait. */
  Duration copy_retry_interval = milliseconds(10);
  ViewSpreadSettings spread;
  ViewCopyQueueSettings copy_queue;
  /** Balancers that got a view lately, to which others are sent. */
  std::size_t max_recent_receivers = 4;
  /** Time for which a balancer that got a view counts as one of these. */
  Duration recent_receiver_ttl = seconds(2);
};

/** The view that a ViewProvider hands out. */
class ViewOwner {
 public:
  virtual ~ViewOwner() = default;
  virtual const ItemView& view() const = 0;
  virtual ViewStatus viewStatus() const = 0;
};

/** Counts of a ViewProvider. */
struct ViewProviderCounters {
  std::uint64_t whole_views = 0;
  std::uint64_t changes = 0;
  /** Sent to another balancer, which has a copy or will have one earlier. */
  std::uint64_t referred = 0;
  /** Receivers that had to wait, for the first view or for their copy; each counted once. */
  std::uint64_t queued = 0;
  std::uint64_t history_unknown = 0;
  std::uint64_t bytes = 0;
};

/**
 * Answers other balancers that read this one's view. Requests for a whole view that come before it
 * is there are queued. Whole views are sent as a ViewSpreadPlan says, a few at a time (ViewCopies);
 * large changes are handed on by those that get them first. Without bounds by the link 32 followers
 * asked for 33 KB each, again every 60 ms, and a link of 10 Mbit/s carried nothing else for
 * seconds.
 */
class ViewProvider {
 public:
  using Send = std::function<void(Endpoint to, const ViewMessage&)>;

  ViewProvider(ViewProviderSettings settings, const ViewOwner& owner, PeerDirectory& directory,
               Scheduler& scheduler, const TimeSource& time_source, Send send);

  /** @param reply_to the socket that asked; the request names the balancer's control address. */
  void onRequest(const ViewRequest& request, Endpoint reply_to);
  void onPeersRequest(const PeersRequest& request, Endpoint reply_to);

  /** The view can be handed out from now on: queued requests are answered. */
  void onViewReady();

  /**
   * Another balancer's whole view has come. While there is no own one it is handed on as it is, at
   * once: to take it in first would cost each level of the tree some tens of milliseconds.
   */
  void adopt(Bytes body, const ViewStatus& status);

  const ViewProviderCounters& counters() const { return counters_; }

 private:
  struct QueuedRequest {
    ViewCopyQueue::Receiver receiver;
    MonotonicTime requested_at;
  };
  /** Where a receiver was sent: it is told the same again where that message was lost. */
  struct Referral {
    std::uint64_t request = 0;
    Endpoint sender;
  };
  struct RecentReceiver {
    Endpoint balancer;
    MonotonicTime received_at;
  };

  /** @return the own view's status, or that of an adopted one. */
  ViewStatus status() const;
  /** @return the status of a body that was made some time ago. */
  ViewStatus statusOf(const WholeBody& body) const;
  void answerQueue();
  void enqueue(const ViewRequest& request, Endpoint reply_to);
  void answerWholeView(const ViewCopyQueue::Receiver& receiver);
  void continueCopy(const ViewCopyQueue::Receiver& receiver, const WholeBody& body);
  void planCopy(const ViewCopyQueue::Receiver& receiver);
  /** Begins copies as far as the link has room, and again a little later while others wait. */
  void startCopies();
  WholeBodyPtr wholeBody();

  /**
   * Tells what has changed. Refused where that is not known: this balancer began later, and the
   * whole view for each follower would fill its link.
   */
  void answerChanges(const ViewRequest& request, Endpoint reply_to);
  void refuseChanges(const ViewRequest& request, Endpoint reply_to);
  void sendParts(const ViewRequest& request, const ViewStatus& body_status, const Bytes& body,
                 std::uint64_t hash, Endpoint reply_to);
  void refer(const ViewRequest& request, Endpoint reply_to, Endpoint other);
  /** @return one of those that have just got a large change; unset where there is none. */
  Endpoint nextRecentReceiver(Endpoint requester);
  /** @return time until the link has sent what was handed to it. */
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
  /** Who waits for the first view of this balancer; later ones wait in the copies' queue. */
  std::unordered_map<Endpoint, QueuedRequest> queue_;
  ViewSpreadPlan plan_;
  ViewCopyQueue copy_queue_;
  std::unordered_map<Endpoint, Referral> referrals_;
  bool retry_scheduled_ = false;
  std::deque<RecentReceiver> recent_receivers_;
  std::size_t next_recent_receiver_ = 0;
  MonotonicTime link_busy_until_;
  /** The whole view as last encoded or adopted; nullptr for none. */
  WholeBodyPtr whole_body_;
  /** While another balancer's view is handed on. */
  bool has_adopted_ = false;
  ViewProviderCounters counters_;
};

}  // namespace lugfork
