#pragma once

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "common/time_source.h"
#include "discovery/peer_client.h"

namespace lugfork {

/** What a ViewSpreadPlan reckons with. */
struct ViewSpreadSettings {
  /**
   * Share of a link that copies take: the rest is for callers' packets, the store's changes and the
   * requests of those that wait.
   */
  double link_fraction = 0.7;
  /** From a copy's last part until it can be handed on, on a small machine that is busy. */
  Duration relay_delay = milliseconds(100);
  /** Time for which a balancer that was given a copy counts as a sender. */
  Duration sender_ttl = seconds(2);
};

/**
 * Plans who sends copies of a view to the balancers that ask this one for it, so that each has its
 * copy as early as possible: a copy is sent by this balancer or by one that was given a copy
 * before. Without a plan, balancers that were refused asked again and again: 1,000 of them made
 * 14,390 requests, and 730 turned to the store.
 */
class ViewSpreadPlan {
 public:
  /** @param own_bytes_per_s rate at which this balancer sends copies. */
  ViewSpreadPlan(ViewSpreadSettings settings, std::uint64_t local_bytes_per_s,
                 const TimeSource& time_source);

  /**
   * Gives a receiver the sender from which its copy comes first, and counts it as a sender from
   * then on. A receiver that comes again was not served: its sender is not chosen any more, and it
   * is served by this balancer, so that no chain of failures keeps it without a view.
   * @return the sender; unset for this balancer.
   */
  Endpoint assignSender(const KnownPeer& receiver, std::size_t copy_bytes);

  std::size_t senders() const { return senders_.size(); }

 private:
  struct Sender {
    LinkClass link = 0;
    /** When its link is free for another copy. */
    MonotonicTime free_at;
    /** Who sends it its own copy; unset for this balancer. */
    Endpoint served_by;
  };
  /** Who sends a copy, and when it is whole; the earlier one comes first, then this balancer. */
  struct Choice {
    MonotonicTime finish;
    Endpoint sender;
    auto operator<=>(const Choice&) const = default;
  };
  /** The senders with links of one class, the first to be free first. */
  using SendersByFreeTime = std::set<std::pair<MonotonicTime, Endpoint>>;

  Choice choiceOf(Endpoint sender, MonotonicTime free_at, std::uint64_t bytes_per_s,
                  const KnownPeer& receiver, std::size_t copy_bytes) const;
  /** @return the best of the balancers that were given a copy before. */
  Choice bestPeer(const KnownPeer& receiver, std::size_t copy_bytes) const;
  /** A copy keeps the sender's link busy. */
  void reserveLink(Endpoint balancer, std::size_t copy_bytes);
  /** @return what copies may take of a link's rate. */
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
  /** Senders in the order in which they were added; some may be gone. */
  std::deque<std::pair<MonotonicTime, Endpoint>> by_insertion_;
};

/** @return the rate of a link in the middle of the class [bytes/s]; that of the slowest for 0. */
std::uint64_t bytesPerSecondOf(LinkClass link);

}  // namespace lugfork
