#pragma once

#include <optional>

#include "discovery/freshness_budget.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Settings of a ProbeSchedule. */
struct ProbeScheduleSettings {
  FreshnessBudget budget;
  /** Shortest interval between two calls to a store that does not answer this balancer. */
  Duration store_retry_interval = seconds(1);
  /**
   * Limit for the whole fleet of calls per second that check whether the store has changes that no
   * upstream has; a small fraction of the store's capacity.
   */
  double probes_per_second = 80;
  /** Largest fleet that may call the store without spreading the calls over time. */
  double unspread_fleet_size = 16;
};

/**
 * Decides when a follower calls the store itself. The fleet's calls are spread by rank over a time
 * that follows from the fleet's size and the limit of calls per second. No call is later than the
 * age at which the view would miss the limit for propagating changes.
 */
class ProbeSchedule {
 public:
  ProbeSchedule(ProbeScheduleSettings settings, Endpoint local_address, PeerDirectory& directory,
                const TimeSource& time_source);

  /** This balancer has received the store's state as of `age_ms` ago [ms]. */
  void onStateReceived(std::uint32_t age_ms);
  /** An upstream had a fresh view, or none of them had one. */
  void onFreshUpstream() { no_fresh_upstream_since_.reset(); }
  void onNoFreshUpstream();
  /** A call to the store was made, was answered, or has failed. */
  void onStoreCalled() { store_called_at_ = time_source_.monotonicTime(); }
  void onStoreAnswer() { store_failing_ = false; }
  void onStoreError();

  /** @return true once this balancer's delay since the first poll without a fresh view is over. */
  bool isProbeDue();
  /** @return time until the view's age requires a call to the store; negative after that. */
  Duration untilDeadline();
  /** @return false if the store does not answer and was called recently. */
  bool mayProbe();
  /** The same for a balancer that watches the store continuously. */
  bool mayWatch() const;
  bool isStoreFailing() const { return store_failing_; }

 private:
  Duration spread();
  /** @return this balancer's position in the fleet's rank order, from 0 to 1. */
  double rankFraction() const;
  Duration sinceStoreCall() const { return time_source_.monotonicTime() - store_called_at_; }

  const ProbeScheduleSettings settings_;
  const Endpoint local_address_;
  PeerDirectory& directory_;
  const TimeSource& time_source_;
  /** Time at which the known state was current at the store. */
  MonotonicTime state_time_;
  /** Time since which no upstream has had a fresh view. */
  std::optional<MonotonicTime> no_fresh_upstream_since_;
  bool store_failing_ = false;
  MonotonicTime store_called_at_;
};

}  // namespace lugfork
