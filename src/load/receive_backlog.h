#pragma once

#include <algorithm>
#include <cstddef>

#include "common/time_source.h"

namespace lugfork {

/** Tunables of a ReceiveBacklog. */
struct ReceiveBacklogSettings {
  /** Time without an empty socket from which this node is behind: half of the time after which
   * callers send an opening again. */
  Duration behind_delay = milliseconds(100);
  /** Time after being behind in which repetitions may still answer this node's own delay: callers
   * repeat after that long. */
  Duration evidence_settle_window = milliseconds(200);
  /** Time between two turns, with datagrams at hand, from which the process surely stood still:
   * callers' first copies are half under way. */
  Duration min_pause = milliseconds(100);
  /** Time of datagrams that may wait in the socket: later ones are sent again by callers before
   * they would be handled. */
  Duration max_socket_delay = milliseconds(250);
  /** Bounds of what the socket holds [datagrams]: a burst that a node with a whole core handles in
   * time, and what a weak node needs while its first view is read. */
  std::size_t min_datagrams = 256;
  std::size_t max_datagrams = 8192;
};

/** What one turn of the event loop read from the socket. */
struct ReceiveBatch {
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
      : settings_(settings), last_empty_at_(now), last_batch_at_(now), measured_from_(now) {}

  /** Notes a read. Costs no clock read: the caller has the time. */
  void onBatch(const ReceiveBatch& batch, MonotonicTime now);

  /** @return true where the queue stands for longer than `behind_after`. */
  bool isBehind() const { return behind_; }

  /** @return true where what callers repeat may be due to this node's own delay, so that it shows
   * nothing of servers. */
  bool evidenceIsStale(MonotonicTime now) const {
    return behind_ || (was_behind_ && now - caught_up_at_ < settings_.evidence_settle_window);
  }

  /** @return for how long the queue has not been empty; zero where it is. */
  Duration queuedFor(MonotonicTime now) const {
    return has_queue_ ? now - queue_since_ : Duration::zero();
  }

  /** @return when the socket was last found empty: what is read now came after that. */
  MonotonicTime lastEmptyAt() const { return last_empty_at_; }

  /** @return since when a datagram that is read now has waited, if the process did not stand still
   * before the queue began. */
  MonotonicTime queuedSince(MonotonicTime now) const { return now - queuedFor(now); }

  /** What waited was not read for other reasons: what callers repeat is this node's delay. */
  void onDelayed(MonotonicTime now) {
    was_behind_ = true;
    caught_up_at_ = now;
  }

  /** @return estimate of the time that a datagram now spends in the socket, at most the bound that
   * `socketDatagrams` gives it. */
  Duration delay(MonotonicTime now) const {
    return std::min(queuedFor(now), settings_.max_socket_delay);
  }

  /** @return how many datagrams the socket should hold, by the rate of the last time behind. */
  std::size_t socketDatagrams() const { return socket_datagrams_; }

  /** @return how often the process stood still with datagrams at hand. */
  std::size_t pauses() const { return pauses_; }

  /** @return how often this node fell behind. */
  std::size_t timesBehind() const { return times_behind_; }

 private:
  void detectPause(MonotonicTime now);
  void updateQueueState(const ReceiveBatch& batch, MonotonicTime now);
  void measureRate(const ReceiveBatch& batch, MonotonicTime now);

  const ReceiveBacklogSettings settings_;
  bool has_queue_ = false;
  bool behind_ = false;
  bool was_behind_ = false;
  /** When the socket was last found empty. */
  MonotonicTime last_empty_at_;
  MonotonicTime queue_since_;
  MonotonicTime caught_up_at_;
  MonotonicTime last_batch_at_;
  MonotonicTime measured_from_;
  std::size_t measured_datagrams_ = 0;
  std::size_t socket_datagrams_ = 1024;
  std::size_t pauses_ = 0;
  std::size_t times_behind_ = 0;
};

}  // namespace lugfork
