#pragma once

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/time_source.h"
#include "discovery/view_spread_plan.h"
#include "wire/view_transfer_codec.h"

namespace lugfork {

/** An encoded whole view; a receiver gets all parts of its copy from the same body. */
struct WholeBody {
  Bytes bytes;
  std::uint64_t hash = 0;
  /** Status of the view when the body was created. */
  ViewStatus status;
  MonotonicTime made_at;
};
using WholeBodyPtr = std::shared_ptr<const WholeBody>;

/** Settings of ViewCopyQueue. */
struct ViewCopyQueueSettings {
  /**
   * Limit of the sum of the receivers' link rates in concurrent copies, as a multiple of this
   * balancer's link rate. It exceeds 1 because a receiver waits a round trip for each window and so
   * uses less than its link rate. A lower limit leaves the link idle; a higher one delays the first
   * complete copies, which can be relayed. Simulated time until the last of 2,000 balancers has a
   * view: 1.3 s with 1.25, 1.03 s with 1.5, 1.05 s with 2.0.
   */
  double overcommit = 1.5;
  /** A receiver without a request for this long no longer counts as active (two resends). */
  Duration idle_timeout = milliseconds(150);
  /** Time after the last request at which a copy or a waiting receiver expires. */
  Duration ttl = milliseconds(1000);
  /** Limit of waiting receivers (about a hundred bytes each). */
  std::size_t max_waiting = 4096;
};

/**
 * Copies of the whole view in progress, and the receivers that wait for one: fast links first, then
 * in order of arrival.
 */
class ViewCopyQueue {
 public:
  struct Receiver {
    ViewRequest request;
    Endpoint reply_to;
  };

  ViewCopyQueue(ViewCopyQueueSettings settings, std::uint64_t own_bytes_per_s,
                const TimeSource& time_source);

  /** Adds a receiver to the queue, or keeps its place. @return false if the queue is full. */
  bool enqueue(const Receiver& receiver);
  bool hasWaiting() const { return !waiting_.empty(); }
  bool isWaiting(Endpoint reply_to) const { return waiting_.contains(reply_to); }

  /** Removes and returns the next receiver whose copy may start; nothing if none may. */
  std::optional<Receiver> takeNext();

  void start(const Receiver& receiver, WholeBodyPtr body);

  /**
   * @return the body that is being sent in response to the request; nullptr if there is none.
   */
  WholeBodyPtr findBody(const ViewRequest& request, Endpoint reply_to) const;

  /** Records a request for parts. @param is_last the request covers the last part. */
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
  /** @return true if the overcommit limit permits another concurrent copy. */
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
