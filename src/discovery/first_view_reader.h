#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "common/scheduler.h"
#include "discovery/peer_client.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Tunables of a FirstViewReader. */
struct FirstViewReaderSettings {
  /** A balancer that gives no sign for this long is passed over (a few round trips and a resend).
   */
  Duration answer_timeout = milliseconds(120);
  /** Pause before the same balancers are asked again. */
  Duration retry_delay = milliseconds(40);
  /** Views older than this are not taken: the store may know better [see also UpstreamSource]. */
  Duration max_age = milliseconds(1800);
  /**
   * Time after which the store is read instead, where no balancer gives a sign, and where some do
   * but have no view. A fleet that starts together is up within half a second (chosen: enough for
   * the slowest to be heard).
   */
  Duration silence_timeout = milliseconds(400);
  Duration refusal_timeout = milliseconds(1000);
  /** Added to that, in proportion to the own rank, so that the fleet does not come all at once. */
  Duration store_spread = milliseconds(1500);
  /**
   * Referrals followed one after the other without regard to that time: the balancer that is named
   * has a copy planned for this one. Twice the levels of a fleet of thousands; a circle ends here.
   */
  std::size_t max_referrals = 8;
};

/**
 * Gets a balancer's first view from another one: asks the seeds and whomever they refer to, until
 * one tells its view or it is time to read the store.
 */
class FirstViewReader {
 public:
  /** Gets the view, or nothing where the store is to be read. */
  using Callback = std::function<void(std::optional<PeerView>)>;

  FirstViewReader(FirstViewReaderSettings settings, Endpoint own_address, PeerDirectory& directory,
                  PeerClient& peers, Scheduler& scheduler, const TimeSource& time_source);

  /** @param first balancers to ask before the seeds. */
  void read(std::vector<Endpoint> first, Callback callback);

 private:
  struct Read {
    Callback callback;
    std::deque<Endpoint> candidates;
    MonotonicTime started_at;
    bool was_refused = false;
    /** Referrals followed one after the other. */
    std::size_t referrals = 0;
  };
  using ReadPtr = std::shared_ptr<Read>;

  void askNext(const ReadPtr& read);
  void ask(const ReadPtr& read, Endpoint peer);
  void onAnswer(const ReadPtr& read, Endpoint peer, Result<PeerView, PeerRefusal> answer);
  void refill(const ReadPtr& read);
  bool isTimeForStore(const Read& read) const;

  const FirstViewReaderSettings settings_;
  /** Part of the spread that falls on this balancer. */
  const Duration own_delay_;
  PeerDirectory& directory_;
  PeerClient& peers_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
};

}  // namespace lugfork
