#pragma once

#include <algorithm>
#include <cstddef>

#include "common/time_source.h"

namespace lugfork {

/** Settings of ReceiveBacklog. */
struct ReceiveBacklogSettings {
  /**
   * Time without an empty socket after which this node counts as behind: half of the time after
   * which clients retransmit an opening.
   */
  Duration behind_delay = milliseconds(100);
  /**
   * Time after being behind in which retransmissions may still result from this node's own delay:
   * the clients' retransmission timeout.
   */
  Duration evidence_settle_window = milliseconds(200);
  /**
   * Minimum time between two batches, with datagrams available, that is recognized as a pause of
   * the process: half of the time after which clients send the first retransmission.
   */
  Duration min_pause = milliseconds(100);
  /**
   * Maximum time for which datagrams may wait in the socket; after that clients retransmit them
   * before they would be handled.
   */
  Duration max_socket_delay = milliseconds(250);
  /**
   * Bounds of the socket's capacity [datagrams]: a burst that a node with a whole core handles in
   * time, and what a node with little CPU needs while it reads its first view.
   */
  std::size_t min_datagrams = 256;
  std::size_t max_datagrams = 8192;
};

/** Result of reading the socket once. */
struct ReceiveBatch {
  std::size_t datagrams = 0;
  /** Whether the socket was empty at the end of the read. */
  bool is_empty = false;
  /** False if that is only likely: a single datagram arrived after a pause. */
  bool is_certain = true;
};

/**
 * Detects a standing queue, that is a socket that does not empty for an interval, and measures how
 * long it has been standing. Works on the results of reads; independent of the socket and of the
 * contents of datagrams.
 */
class ReceiveBacklog {
 public:
  ReceiveBacklog(ReceiveBacklogSettings settings, MonotonicTime now)
      : settings_(settings), last_empty_at_(now), last_batch_at_(now), measured_from_(now) {}

  /** Records a read. The time is passed in, so that the clock is not read again. */
  void onBatch(const ReceiveBatch& batch, MonotonicTime now);

  /** @return true if the queue has been standing for at least `behind_delay`. */
  bool isBehind() const { return behind_; }

  /**
   * @return true if retransmissions may result from this node's own delay, so that they are no
   * evidence about backends.
   */
  bool evidenceIsStale(MonotonicTime now) const {
    return behind_ || (was_behind_ && now - caught_up_at_ < settings_.evidence_settle_window);
  }

  /** @return time for which the queue has not been empty; zero if it is empty. */
  Duration queuedFor(MonotonicTime now) const {
    return has_queue_ ? now - queue_since_ : Duration::zero();
  }

  /** @return when the socket was last found empty; datagrams that are read now arrived later. */
  MonotonicTime lastEmptyAt() const { return last_empty_at_; }

  /**
   * @return the earliest time from which a datagram that is read now may have been waiting,
   * provided that the process was not paused before the queue formed.
   */
  MonotonicTime queuedSince(MonotonicTime now) const { return now - queuedFor(now); }

  /**
   * Records that datagrams were not read for another reason; retransmissions result from this
   * node's delay.
   */
  void onDelayed(MonotonicTime now) {
    was_behind_ = true;
    caught_up_at_ = now;
  }

  /**
   * @return estimate of the current queueing time in the socket, limited to `max_socket_delay`,
   * which also determines `socketDatagrams`.
   */
  Duration delay(MonotonicTime now) const {
    return std::min(queuedFor(now), settings_.max_socket_delay);
  }

  /**
   * @return the capacity that the socket should have [datagrams], from the rate measured while this
   * node was last behind.
   */
  std::size_t socketDatagrams() const { return socket_datagrams_; }

  /** @return how often the process was paused while datagrams were available. */
  std::size_t pauses() const { return pauses_; }

  /** @return how often this node has fallen behind. */
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
