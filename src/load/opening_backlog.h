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

/** Tunables of an OpeningBacklog. */
struct OpeningBacklogSettings {
  /** Time between a caller's beginning and its opening, first copy and second copy. */
  std::array<Duration, 3> transmission_offsets{Duration(), milliseconds(200), milliseconds(600)};
  /** Time after which an opening is of no use, for the first, its first copy and the second: the
   * caller sends the next copy then, or gives up. */
  std::array<Duration, 3> transmission_ttls{milliseconds(200), milliseconds(400),
                                            milliseconds(800)};
  /** Time since its arrival for which no copy of a first opening can be at a server, the way of a
   * reset to the caller included: callers send the first copy after twice that long. */
  Duration exclusive_window = milliseconds(100);
  /** Wait of the oldest opening from which those are served first whose callers began last: half of
   * the time for which an opening that waits is of use. */
  Duration newest_first_delay = milliseconds(100);
  /** Time after an opening was served in which a copy of it was sent before a server's answer could
   * reach the caller: no sign of a silent server. */
  Duration duplicate_window = milliseconds(50);
  /** Openings kept at most: what a node with a whole core places within 20 ms. */
  std::size_t max_openings = 512;
  /** Whether openings that won't be served in time are to be rejected. Costs their callers a retry,
   * but 100 ms less than to wait for the time of the next copy. */
  bool rejects_late = false;
};

/** An opening that was read and waits for its turn. */
struct PendingOpening {
  FlowId flow;
  /** Copies that its caller had sent before this one. */
  std::uint32_t retransmissions = 0;
  /** Copies of the opening that wait here as this one. */
  std::uint32_t merged = 0;
  MonotonicTime read_at;
  /** Since when it has waited, here and in the socket. */
  MonotonicTime queued_since;
  /** The earliest time at which it can have come. */
  MonotonicTime earliest_arrival;
  std::vector<std::uint8_t> bytes;

  /** @return true where no other node can have got a copy sent before: all have waited here. */
  bool hasAllTransmissions() const { return merged == retransmissions; }
};

/** Counts since the start. */
struct OpeningBacklogCounters {
  /** Dropped since a later copy was on its way, or nobody waited any more. */
  std::uint64_t expired = 0;
  /** Dropped for want of room. */
  std::uint64_t evicted = 0;
  /** Copies that joined an opening of their flow, or came just after it was served. */
  std::uint64_t merged = 0;
  /** Given up by their callers while they waited. */
  std::uint64_t abandoned = 0;
};

/**
 * Openings that wait until packets of open flows are handled. Served in the order of their use to
 * callers: oldest first while none waits for long, else those first whose callers began last, which
 * can still be served in time; never those whose callers have sent a copy or gone. One opening for
 * a flow; bounded memory.
 */
class OpeningBacklog {
 public:
  explicit OpeningBacklog(OpeningBacklogSettings settings) : settings_(settings) {}

  /** Takes an opening in; a copy joins the one of its flow that waits, which stays useful on. */
  void add(PendingOpening opening);

  /** The caller of the flow has given it up. */
  void onAbandoned(const FlowId& flow);

  /** @return the opening to be served next, or nothing where none is of use. */
  std::optional<PendingOpening> take(MonotonicTime now);

  /** @return the opening to be rejected next: one that has waited for half of the time for which a
   * rejection is certain to be true; nothing where none is. */
  std::optional<PendingOpening> takeForRejection(MonotonicTime now);

  /** @return true where a copy of the opening may be at a server: another node has got it. */
  bool mayBeOpen(const PendingOpening& opening, MonotonicTime now) const {
    return !opening.hasAllTransmissions() ||
           now - opening.queued_since > settings_.exclusive_window;
  }

  bool isEmpty() const { return pending_.empty(); }
  std::size_t size() const { return pending_.size(); }
  const OpeningBacklogCounters& counters() const { return counters_; }

 private:
  std::size_t transmissionIndex(const PendingOpening& opening) const;
  /** @return when the caller of an opening began to wait, at the latest. */
  MonotonicTime startedAt(const PendingOpening& opening) const;
  std::deque<PendingOpening>::iterator latestStarted();
  bool isExpired(const PendingOpening& opening, MonotonicTime now) const;
  bool wasRecentlyServed(const FlowId& flow, MonotonicTime now);
  static void merge(PendingOpening& pending, PendingOpening later);

  const OpeningBacklogSettings settings_;
  /** In the order in which they were read. */
  std::deque<PendingOpening> pending_;
  /** Served within the time until an answer can be there, in their order; bounded as those that
   * wait.
   */
  std::deque<std::pair<FlowId, MonotonicTime>> served_;
  OpeningBacklogCounters counters_;
};

}  // namespace lugfork
