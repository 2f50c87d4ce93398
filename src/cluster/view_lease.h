#pragma once

#include "common/time_source.h"

namespace lugfork {

/** Tunables of the view lease. */
struct ViewLeaseSettings {
  /** A view counts as fresh this long after the request that confirmed it was sent. */
  Duration lease = seconds(3);
  /** Time without a tick from which the process counts as paused. */
  Duration pause_threshold = seconds(1);
  /** A running process that nothing confirmed this long places with what it has. */
  Duration isolation_timeout = seconds(5);
  /** Without the lease a node always places; for experiments only. */
  bool enabled = true;
};

/** How far the node may trust its view. */
enum class ViewState {
  Fresh,
  /** The lease has run out; new work waits for a confirmation. */
  Stale,
  /** Nothing confirmed the view for the isolation limit; the node goes on alone. */
  Degraded,
};

/**
 * Says whether the node's view is fresh enough to place new work. A confirmation counts from the
 * time at which its request was sent, so that answers which waited in a buffer through a pause
 * of this process prove nothing. Pauses themselves show as a gap between ticks.
 */
class ViewLease {
 public:
  ViewLease(ViewLeaseSettings settings, const TimeSource& time_source);

  /** Notes that the process runs. @return true if it was paused since the last tick. */
  bool onTick();

  /** Notes that a peer or the platform answered a request sent at the given time. */
  void onConfirmed(MonotonicTime requested_at);

  ViewState state() const;

  /** @return time since the request whose answer last confirmed the view. */
  Duration age() const { return time_source_.monotonicTime() - confirmed_at_; }

  /** @return true once half of the lease has passed without a confirmation. */
  bool needsConfirmation() const;

 private:
  const ViewLeaseSettings settings_;
  const TimeSource& time_source_;
  MonotonicTime last_tick_;
  MonotonicTime confirmed_at_;
  /** Start of the time in which the process has run without a pause. */
  MonotonicTime running_since_;
};

}  // namespace lugfork
