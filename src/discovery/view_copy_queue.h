#pragma once

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/time_source.h"
#include "discovery/view_spread_plan.h"
#include "wire/view_transfer_codec.h"

namespace lugfork {

/** A whole view as it is sent: the same bytes for each receiver and until its last part. */
struct WholeBody {
  Bytes bytes;
  std::uint64_t hash = 0;
  /** The view's status when the body was made. */
  ViewStatus status;
  MonotonicTime made_at;
};
using WholeBodyPtr = std::shared_ptr<const WholeBody>;

/** Tunables of ViewCopies. */
struct ViewCopyQueueSettings {
  /**
   * Sum of the receivers' link rates up to which copies are sent at a time, as a multiple of the
   * own link's: a receiver whose windows wait for a round trip each draws less than its rate.
   * Less left links idle, more kept copies from being whole soon enough to be handed on: 1.25 and
   * 2.0 took 1.3 and 1.05 s to the last of 2,000 balancers (simulated), 1.5 took 1.03 s.
   */
  double overcommit = 1.5;
  /** A receiver that has not asked for so long holds no place any more (two resends). */
  Duration idle_timeout = milliseconds(150);
  /** Time after which a copy or a place in the queue is forgotten. */
  Duration ttl = milliseconds(1000);
  /** Receivers that wait for their copy at most (about a hundred bytes each). */
  std::size_t max_waiting = 4096;
};

/** Who is sent a whole view now, and who waits for it: strong links first, then by arrival. */
class ViewCopyQueue {
 public:
  struct Receiver {
    ViewRequest request;
    Endpoint reply_to;
  };

  ViewCopyQueue(ViewCopyQueueSettings settings, std::uint64_t own_bytes_per_s,
                const TimeSource& time_source);

  /** Puts a receiver into the queue, or keeps its place there. @return false where it is full. */
  bool enqueue(const Receiver& receiver);
  bool hasWaiting() const { return !waiting_.empty(); }
  bool isWaiting(Endpoint reply_to) const { return waiting_.contains(reply_to); }

  /** @return the next receiver whose copy may begin, taken out of the queue; or nothing. */
  std::optional<Receiver> takeNext();

  /** A receiver's copy begins. */
  void start(const Receiver& receiver, WholeBodyPtr body);

  /**
   * @return the body that is being sent in answer to the request; nullptr where none is.
   */
  WholeBodyPtr findBody(const ViewRequest& request, Endpoint reply_to) const;

  /** The receiver has asked for parts. @param is_last they are the copy's last ones. */
  void onRequested(Endpoint reply_to, bool is_last);

  void remove(Endpoint reply_to);

 private:
  struct Copy {
    std::uint64_t request = 0;
    WholeBodyPtr body;
    std::uint64_t bytes_per_s = 0;
    MonotonicTime requested_at;
    bool is_ending = false;
  };
  struct Waiting {
    Receiver receiver;
    std::uint64_t arrival = 0;
    MonotonicTime requested_at;
  };

  void expire();
  /** @return true while another copy fits beside those that are being sent. */
  bool hasCapacity() const;
  std::uint64_t rateOf(const Receiver& receiver) const;

  const ViewCopyQueueSettings settings_;
  const std::uint64_t own_bytes_per_s_;
  const TimeSource& time_source_;
  std::unordered_map<Endpoint, Copy> copies_;
  std::unordered_map<Endpoint, Waiting> waiting_;
  std::uint64_t next_arrival_ = 0;
};

}  // namespace lugfork
