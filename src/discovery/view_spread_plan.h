#pragma once

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "common/time_source.h"
#include "discovery/peer_client.h"

namespace lugfork {

/** Settings of ViewSpreadPlan. */
struct ViewSpreadSettings {
  /**
   * Fraction of a link's rate that copies may use. The rest is left for clients' packets, changes
   * from the store and the requests of waiting balancers.
   */
  double link_fraction = 0.7;
  /** Time from a copy's last part until it can be relayed, on a busy small machine. */
  Duration relay_delay = milliseconds(100);
  /** Time for which a balancer that was assigned a copy is available as a sender. */
  Duration sender_ttl = seconds(2);
};

/**
 * Assigns a sender to each balancer that requests a copy of the view, so that each copy completes
 * as early as possible: this balancer itself, or one that was assigned a copy before. Without a
 * plan refused balancers kept repeating their requests: 1,000 of them sent 14,390 requests, and 730
 * read the store instead.
 */
class ViewSpreadPlan {
 public:
  /** @param local_bytes_per_s rate of this balancer's link [bytes/s]. */
  ViewSpreadPlan(ViewSpreadSettings settings, std::uint64_t local_bytes_per_s,
                 const TimeSource& time_source);

  /**
   * Assigns the sender that completes the receiver's copy first, and adds the receiver to the
   * senders. A receiver that requests again was not served: its sender is removed, and this
   * balancer serves it, so that a chain of failed senders cannot leave it without a view.
   * @return the sender; unset for this balancer.
   */
  Endpoint assignSender(const PeerInfo& receiver, std::size_t copy_bytes);

  std::size_t senders() const { return senders_.size(); }

 private:
  struct Sender {
    LinkClass link = 0;
    /** Time at which its link is free for another copy. */
    MonotonicTime free_at;
    /** Sender of its own copy; unset for this balancer. */
    Endpoint served_by;
  };
  /** Sender of a copy and time of completion. Earlier ones sort first, this balancer on a tie. */
  struct Choice {
    MonotonicTime finish;
    Endpoint sender;
    auto operator<=>(const Choice&) const = default;
  };
  /** Senders with links of one class, ordered by the time at which they are free. */
  using SendersByFreeTime = std::set<std::pair<MonotonicTime, Endpoint>>;

  Choice choiceOf(Endpoint sender, MonotonicTime free_at, std::uint64_t bytes_per_s,
                  const PeerInfo& receiver, std::size_t copy_bytes) const;
  /** @return the best choice among the peers that were assigned a copy before. */
  Choice bestPeer(const PeerInfo& receiver, std::size_t copy_bytes) const;
  /** Reserves the sender's link for a copy; an unset address stands for this balancer. */
  void reserveLink(Endpoint balancer, std::size_t copy_bytes);
  /** @return the part of a link's rate that copies may use [bytes/s]. */
  std::uint64_t copyRateOf(std::uint64_t bytes_per_s) const;
  void add(Endpoint balancer, const Sender& sender);
  void remove(Endpoint balancer);
  void expireSenders();

  const ViewSpreadSettings settings_;
  const std::uint64_t local_bytes_per_s_;
  const TimeSource& time_source_;
  MonotonicTime local_free_at_;
  std::unordered_map<Endpoint, Sender> senders_;
  std::map<LinkClass, SendersByFreeTime> senders_by_link_;
  /** Senders in the order in which they were added; some may have been removed since. */
  std::deque<std::pair<MonotonicTime, Endpoint>> by_insertion_;
};

/** @return the rate in the middle of a link class [bytes/s]; the slowest rate for class 0. */
std::uint64_t bytesPerSecondOf(LinkClass link);

}  // namespace lugfork
