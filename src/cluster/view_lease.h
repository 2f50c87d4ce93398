#pragma once

#include "common/time_source.h"

namespace lugfork {

/** Settings of the view lease. */
struct ViewLeaseSettings {
  /** A view is fresh for this time after the request whose answer confirmed it was sent. */
  Duration lease = seconds(3);
  /** The process counts as paused if there was no tick for this time. */
  Duration pause_threshold = seconds(1);
  /** A running process whose stale view isn't confirmed within this time places with it anyway. */
  Duration isolation_timeout = seconds(5);
  /** If false, the view always counts as fresh; for experiments only. */
  bool enabled = true;
};

/** Freshness of the node's view. */
enum class ViewState {
  Fresh,
  /** The lease has expired; new flows are not placed until the view is confirmed. */
  Stale,
  /** The view was not confirmed within the isolation timeout; the node places with it anyway. */
  Degraded,
};

/**
 * Decides whether the node's view is fresh enough to place new flows. A confirmation counts from
 * the time its request was sent, so that answers buffered during a pause of this process don't
 * renew the lease. Pauses are detected as gaps between ticks.
 */
class ViewLease {
 public:
  ViewLease(ViewLeaseSettings settings, const TimeSource& time_source);

  /** Records that the process is running. @return true if it was paused since the last tick. */
  bool onTick();

  /** Records that a peer or the platform answered a request sent at the given time. */
  void onConfirmed(MonotonicTime requested_at);

  ViewState state() const;

  /** @return time since the request that last confirmed the view was sent. */
  Duration age() const { return time_source_.monotonicTime() - confirmed_at_; }

  /** @return true once half of the lease has passed without a confirmation. */
  bool needsConfirmation() const;

 private:
  const ViewLeaseSettings settings_;
  const TimeSource& time_source_;
  MonotonicTime last_tick_;
  MonotonicTime confirmed_at_;
  /** Time since which the process has run without a pause. */
  MonotonicTime running_since_;
};

}  // namespace lugfork
