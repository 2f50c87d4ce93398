#pragma once

#include <algorithm>
#include <cstddef>

#include "common/time_source.h"

namespace lugfork {

/** Tunables of a ReceiveBacklog. */
struct ReceiveBacklogSettings {
  /** Time without an empty socket from which this node is behind: half of the time after which
   * callers send an opening again. */
  Duration behind_after = milliseconds(100);
  /** Time after being behind in which repetitions may still answer this node's own delay: callers
   * repeat after that long. */
  Duration evidence_settles_in = milliseconds(200);
  /** Time between two turns, with datagrams at hand, from which the process surely stood still:
   * callers' first copies are half under way. */
  Duration stopped_after = milliseconds(100);
  /** Time of datagrams that may wait in the socket: later ones are sent again by callers before
   * they would be handled. */
  Duration socket_holds = milliseconds(250);
  /** Bounds of what the socket holds [datagrams]: a burst that a node with a whole core handles in
   * time, and what a weak node needs while its first view is read. */
  std::size_t fewest_datagrams = 256;
  std::size_t most_datagrams = 8192;
};

/** What one turn of the event loop read from the socket. */
struct ReceiveTurn {
  std::size_t datagrams = 0;
  /** The socket held nothing more at the end of the read. */
  bool is_empty = false;
  /** False where that is only likely: a single datagram came after a pause. */
  bool is_certain = true;
};

/**
 * Learns from reads whether a socket has a standing queue, one that does not empty for an interval,
 * and for how long. Knows no socket and no content.
 */
class ReceiveBacklog {
 public:
  ReceiveBacklog(ReceiveBacklogSettings settings, MonotonicTime now)
      : settings_(settings), empty_at_(now), turn_at_(now), measured_from_(now) {}

  /** Notes a read. Costs no clock read: the caller has the time. */
  void onTurn(const ReceiveTurn& turn, MonotonicTime now);

  /** @return true where the queue stands for longer than `behind_after`. */
  bool isBehind() const { return behind_; }

  /** @return true where what callers repeat may be due to this node's own delay, so that it shows
   * nothing of servers. */
  bool evidenceIsStale(MonotonicTime now) const {
    return behind_ || (was_behind_ && now - caught_up_at_ < settings_.evidence_settles_in);
  }

  /** @return for how long the queue has not been empty; zero where it is. */
  Duration standingFor(MonotonicTime now) const {
    return standing_ ? now - standing_since_ : Duration::zero();
  }

  /** @return when the socket was last found empty: what is read now came after that. */
  MonotonicTime emptyAt() const { return empty_at_; }

  /** @return since when a datagram that is read now has waited, if the process did not stand still
   * before the queue began. */
  MonotonicTime waitingSince(MonotonicTime now) const { return now - standingFor(now); }

  /** What waited was not read for other reasons: what callers repeat is this node's delay. */
  void onDelayed(MonotonicTime now) {
    was_behind_ = true;
    caught_up_at_ = now;
  }

  /** @return estimate of the time that a datagram now spends in the socket, at most the bound that
   * `socketDatagrams` gives it. */
  Duration delay(MonotonicTime now) const {
    return std::min(standingFor(now), settings_.socket_holds);
  }

  /** @return how many datagrams the socket should hold, by the rate of the last time behind. */
  std::size_t socketDatagrams() const { return socket_datagrams_; }

  /** @return how often the process stood still with datagrams at hand. */
  std::size_t stops() const { return stops_; }

  /** @return how often this node fell behind. */
  std::size_t timesBehind() const { return times_behind_; }

 private:
  void noteStop(MonotonicTime now);
  void noteQueue(const ReceiveTurn& turn, MonotonicTime now);
  void measureRate(const ReceiveTurn& turn, MonotonicTime now);

  const ReceiveBacklogSettings settings_;
  bool standing_ = false;
  bool behind_ = false;
  bool was_behind_ = false;
  /** When the socket was last found empty. */
  MonotonicTime empty_at_;
  MonotonicTime standing_since_;
  MonotonicTime caught_up_at_;
  MonotonicTime turn_at_;
  MonotonicTime measured_from_;
  std::size_t measured_ = 0;
  std::size_t socket_datagrams_ = 1024;
  std::size_t stops_ = 0;
  std::size_t times_behind_ = 0;
};

}  // namespace lugfork
