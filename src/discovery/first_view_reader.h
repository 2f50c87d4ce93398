#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "common/scheduler.h"
#include "discovery/peer_client.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Settings of a FirstViewReader. */
struct FirstViewReaderSettings {
  /**
   * Time without a message after which the next balancer is tried; covers a few round trips and one
   * retransmission.
   */
  Duration answer_timeout = milliseconds(120);
  /** Delay before the same balancers are tried again. */
  Duration retry_delay = milliseconds(40);
  /** Maximum age of an accepted view; the store may have a newer state (see UpstreamSource). */
  Duration max_age = milliseconds(1800);
  /**
   * Time after which the store is read instead: if no balancer answers, and if some answer without
   * a usable view. Long enough for the slowest balancer of a fleet that starts at once, which is up
   * within 0.5 s, to answer.
   */
  Duration silence_timeout = milliseconds(400);
  Duration refusal_timeout = milliseconds(1000);
  /** Maximum additional delay, in proportion to the rank, to spread the fleet's reads. */
  Duration store_spread = milliseconds(1500);
  /**
   * Limit of consecutive referrals that are followed regardless of these times, since the referred
   * balancer has a copy planned for this one. Twice the depth of the distribution tree of a fleet
   * of thousands; ends cycles of referrals.
   */
  std::size_t max_referrals = 8;
};

/**
 * Reads a balancer's first view from a peer: sends requests to the seeds and to the balancers that
 * they refer to, until one of them sends its view or the store has to be read.
 */
class FirstViewReader {
 public:
  /** Receives the view, or nothing if the store has to be read. */
  using Callback = std::function<void(std::optional<PeerView>)>;

  FirstViewReader(FirstViewReaderSettings settings, Endpoint local_address,
                  PeerDirectory& directory, PeerClient& peers, Scheduler& scheduler,
                  const TimeSource& time_source);

  /** @param first preferred balancers; the first of them is tried before the seeds. */
  void read(std::vector<Endpoint> first, Callback callback);

 private:
  struct Read {
    Callback callback;
    std::deque<Endpoint> candidates;
    MonotonicTime started_at;
    bool was_refused = false;
    /** Number of consecutive referrals followed. */
    std::size_t referrals = 0;
  };
  using ReadPtr = std::shared_ptr<Read>;

  void requestNext(const ReadPtr& read);
  void requestView(const ReadPtr& read, Endpoint peer);
  void onAnswer(const ReadPtr& read, Endpoint peer, Result<PeerView, PeerRefusal> answer);
  void refillCandidates(const ReadPtr& read);
  bool mustReadStore(const Read& read) const;

  const FirstViewReaderSettings settings_;
  /** Part of `store_spread` by which this balancer's read of the store is delayed. */
  const Duration local_delay_;
  PeerDirectory& directory_;
  PeerClient& peers_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
};

}  // namespace lugfork
