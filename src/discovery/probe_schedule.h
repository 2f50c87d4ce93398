#pragma once

#include <optional>

#include "discovery/freshness_budget.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Tunables of a ProbeSchedule. */
struct ProbeScheduleSettings {
  FreshnessBudget budget;
  /** Shortest time between two calls to a store that does not answer this balancer. */
  Duration store_retry_interval = seconds(1);
  /**
   * Calls a second that the whole fleet may make to find out whether the store has news that no
   * upstream has; a small part of the store's rate.
   */
  double probes_per_second = 80;
  /** Balancers that may call the store at once without being a crowd. */
  double unspread_fleet_size = 16;
};

/**
 * Decides when a balancer that follows others calls the store itself. The fleet's calls are spread
 * by rank over what its size and the store's rate ask for, and never later than the age at which a
 * view is too old for its bound.
 */
class ProbeSchedule {
 public:
  ProbeSchedule(ProbeScheduleSettings settings, Endpoint own_address, PeerDirectory& directory,
                const TimeSource& time_source);

  /** This balancer was told what the store knew so long ago [ms]. */
  void onStateReceived(std::uint32_t age_ms);
  /** An upstream had a fresh view, or none had. */
  void onFreshUpstream() { old_since_.reset(); }
  void onNoFreshUpstream();
  /** The store is called, and has answered or not. */
  void onStoreCalled() { store_called_at_ = time_source_.monotonicTime(); }
  void onStoreAnswer() { store_failing_ = false; }
  void onStoreError();

  /** @return true once it is this balancer's turn, counted from the first poll without a view. */
  bool isProbeDue();
  /** @return time until the view is so old that the store must be called; negative after it. */
  Duration untilDeadline();
  /** @return false where the store does not answer and was called lately. */
  bool mayProbe();
  /** The same for a balancer that watches the store all the time. */
  bool mayWatch() const;
  bool isStoreFailing() const { return store_failing_; }

 private:
  Duration spread();
  /** @return this balancer's place in the fleet's order, from 0 to 1. */
  double ownShare() const;
  Duration sinceStoreCall() const { return time_source_.monotonicTime() - store_called_at_; }

  const ProbeScheduleSettings settings_;
  const Endpoint own_address_;
  PeerDirectory& directory_;
  const TimeSource& time_source_;
  /** When the store told what is known. */
  MonotonicTime told_at_;
  /** Since when no upstream has had a fresh view. */
  std::optional<MonotonicTime> old_since_;
  bool store_failing_ = false;
  MonotonicTime store_called_at_;
};

}  // namespace lugfork
