#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "common/time_source.h"

namespace lugfork {

/** Settings of OpeningBacklog. */
struct OpeningBacklogSettings {
  /** Offsets of the opening, its first and its second retransmission from the start of the flow. */
  std::array<Duration, 3> transmission_offsets{Duration(), milliseconds(200), milliseconds(600)};
  /**
   * Time for which a queued opening is useful, for the original and both retransmissions. After
   * that the client has sent the next one or has given up.
   */
  std::array<Duration, 3> transmission_ttls{milliseconds(200), milliseconds(400),
                                            milliseconds(800)};
  /**
   * Time since its arrival in which no retransmission of an opening can have reached a backend,
   * including the transit time of a reset to the client. Clients send the first retransmission
   * after twice that time.
   */
  Duration exclusive_window = milliseconds(100);
  /**
   * Queueing time of the oldest opening above which openings of the most recently started flows are
   * served first: half of the time for which a queued opening is useful.
   */
  Duration newest_first_delay = milliseconds(100);
  /**
   * Time after an opening was served in which a retransmission was sent before the backend's
   * response could reach the client. It does not indicate a silent backend.
   */
  Duration duplicate_window = milliseconds(50);
  /** Maximum number of queued openings: what a node with a whole core places within 20 ms. */
  std::size_t max_openings = 512;
  /**
   * Whether openings that cannot be served in time are rejected. A rejection costs the client a
   * retry, but takes 100 ms less than waiting for the next retransmission.
   */
  bool rejects_late = false;
};

/** An opening that was read and is queued. */
struct PendingOpening {
  FlowId flow;
  /** Number of transmissions that the client sent before this one. */
  std::uint32_t retransmissions = 0;
  /** Number of earlier transmissions that were merged into this one. */
  std::uint32_t merged = 0;
  MonotonicTime read_at;
  /** Start of the queueing time, in the socket and here. */
  MonotonicTime queued_since;
  /** Earliest time at which it can have arrived. */
  MonotonicTime earliest_arrival;
  std::vector<std::uint8_t> bytes;

  /**
   * @return true if all earlier transmissions were queued here, so that no other node received one.
   */
  bool hasAllTransmissions() const { return merged == retransmissions; }
};

/** Counters since the start. */
struct OpeningBacklogCounters {
  /** Dropped because a later retransmission was under way or the client had given up. */
  std::uint64_t expired = 0;
  /** Dropped because the backlog was full. */
  std::uint64_t evicted = 0;
  /** Retransmissions that were merged into a queued opening or arrived just after it was served. */
  std::uint64_t merged = 0;
  /** Abandoned by their clients while queued. */
  std::uint64_t abandoned = 0;
};

/**
 * Queues openings while packets of open flows are handled. Openings are served oldest first while
 * the queueing time is short. Otherwise the most recently started flows come first, since they can
 * still be served in time. An opening is never served after its client has retransmitted it or
 * given up. Holds one opening per flow; memory is bounded.
 */
class OpeningBacklog {
 public:
  explicit OpeningBacklog(OpeningBacklogSettings settings) : settings_(settings) {}

  /**
   * Queues an opening. A retransmission is merged into the queued opening of its flow, which stays
   * useful.
   */
  void add(PendingOpening opening);

  /** Removes the opening of a flow that its client has aborted. */
  void onAbandoned(const FlowId& flow);

  /** @return the opening to serve next, or nothing if none is useful. */
  std::optional<PendingOpening> take(MonotonicTime now);

  /**
   * @return the opening to reject next: one that has been queued for at least half of
   * `exclusive_window` and certainly arrived within it; nothing if there is none.
   */
  std::optional<PendingOpening> takeForRejection(MonotonicTime now);

  /**
   * @return true if a transmission of the opening may have reached a backend through another node.
   */
  bool mayBeOpen(const PendingOpening& opening, MonotonicTime now) const {
    return !opening.hasAllTransmissions() ||
           now - opening.queued_since > settings_.exclusive_window;
  }

  bool isEmpty() const { return pending_.empty(); }
  std::size_t size() const { return pending_.size(); }
  const OpeningBacklogCounters& counters() const { return counters_; }

 private:
  std::size_t transmissionIndex(const PendingOpening& opening) const;
  /** @return the latest time at which the client can have started the flow. */
  MonotonicTime startedAt(const PendingOpening& opening) const;
  std::deque<PendingOpening>::iterator latestStarted();
  bool isExpired(const PendingOpening& opening, MonotonicTime now) const;
  bool wasRecentlyServed(const FlowId& flow, MonotonicTime now);
  static void merge(PendingOpening& pending, PendingOpening later);

  const OpeningBacklogSettings settings_;
  /** In the order in which they were read. */
  std::deque<PendingOpening> pending_;
  /** Served within `duplicate_window`, in order; bounded like the queue. */
  std::deque<std::pair<FlowId, MonotonicTime>> served_;
  OpeningBacklogCounters counters_;
};

}  // namespace lugfork
