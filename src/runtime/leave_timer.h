#pragma once

#include "common/time_source.h"

namespace lugfork {

/** How long a balancer forwards after it was told to stop. */
struct LeaveSettings {
  /** Shortest time, for the network before it to send elsewhere. */
  Duration minimum = seconds(2);
  /** Time without a datagram after which nothing more is expected. */
  Duration quiet = seconds(1);
  /** Longest time, whatever still arrives. */
  Duration maximum = seconds(30);
};

/** Tells when a planned stop is done. */
class LeaveTimer {
 public:
  explicit LeaveTimer(LeaveSettings settings) : settings_(settings) {}

  void start(MonotonicTime now) { started_at_ = now; }
  void onDatagram(MonotonicTime now) { last_datagram_at_ = now; }

  bool isDone(MonotonicTime now) const {
    const Duration leaving_for = now - started_at_;
    const bool quiet = now - last_datagram_at_ >= settings_.quiet;
    return (leaving_for >= settings_.minimum && quiet) || leaving_for >= settings_.maximum;
  }

 private:
  const LeaveSettings settings_;
  MonotonicTime started_at_;
  MonotonicTime last_datagram_at_;
};

}  // namespace lugfork
