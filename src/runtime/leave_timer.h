#pragma once

#include "common/time_source.h"

namespace lugfork {

/** Settings of LeaveTimer: how long a balancer forwards after a planned stop began. */
struct LeaveSettings {
  /** Minimum time, in which the network redirects traffic to other balancers. */
  Duration min_duration = seconds(2);
  /** Time without a datagram after which no more are expected. */
  Duration quiet_window = seconds(1);
  /** Limit, even if datagrams still arrive. */
  Duration max_duration = seconds(30);
};

/** Decides when a planned stop is complete. */
class LeaveTimer {
 public:
  explicit LeaveTimer(LeaveSettings settings) : settings_(settings) {}

  void start(MonotonicTime now) { started_at_ = now; }
  void onDatagram(MonotonicTime now) { last_datagram_at_ = now; }

  bool isDone(MonotonicTime now) const {
    const Duration leaving_for = now - started_at_;
    const bool quiet = now - last_datagram_at_ >= settings_.quiet_window;
    return (leaving_for >= settings_.min_duration && quiet) ||
           leaving_for >= settings_.max_duration;
  }

 private:
  const LeaveSettings settings_;
  MonotonicTime started_at_;
  MonotonicTime last_datagram_at_;
};

}  // namespace lugfork
