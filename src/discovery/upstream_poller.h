#pragma once

#include <memory>
#include <optional>

#include "discovery/peer_client.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Tunables of an UpstreamPoller. */
struct UpstreamPollerSettings {
  /** A balancer that gives no sign for this long counts as silent (three sends). */
  Duration response_timeout = milliseconds(300);
  /** Balancers asked in one poll at most. */
  std::size_t max_peers = 3;
  /** Balancers asked besides because one that was busy named them: levels of a tree of a fleet. */
  std::size_t max_referrals = 5;
};

/** What a poll has found. */
struct PollResult {
  /** The newest view that was told; none where nobody told one. */
  std::optional<PeerView> view;
  Endpoint upstream;
  /** The view is no older than the limit. */
  bool is_fresh = false;
};

/**
 * Asks balancers in turn what is new, until one tells a view that is fresh. Whom a busy one names
 * is asked next.
 */
class UpstreamPoller {
 public:
  using Callback = std::function<void(const PollResult&)>;

  /** @param fresh_for age of a view from which another balancer is asked as well. */
  UpstreamPoller(UpstreamPollerSettings settings, Duration max_fresh_age, PeerDirectory& directory,
                 PeerClient& peers);

  /** The one that had a fresh view last is asked first. */
  void poll(std::vector<Endpoint> candidates, Revision after, Callback callback);

 private:
  struct Poll {
    std::vector<Endpoint> candidates;
    std::size_t asked_count = 0;
    /** Candidates that others have named. */
    std::size_t referral_count = 0;
    std::vector<Endpoint> silent_peers;
    bool has_answer = false;
    Revision after = 0;
    PollResult best;
    Callback callback;
  };
  using PollPtr = std::shared_ptr<Poll>;

  void askNext(const PollPtr& poll);
  void onRefusal(const PollPtr& poll, Endpoint upstream, const PeerRefusal& refusal);
  void onAnswer(const PollPtr& poll, Endpoint upstream,
                const Result<PeerView, PeerRefusal>& answer);
  /** Blames who was silent, unless all were: then this balancer's own path is broken. */
  void reportSilentPeers(const Poll& poll);

  const UpstreamPollerSettings settings_;
  const Duration max_fresh_age_;
  PeerDirectory& directory_;
  PeerClient& peers_;
  Endpoint preferred_;
};

}  // namespace lugfork
