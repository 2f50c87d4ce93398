#pragma once

#include <memory>
#include <optional>

#include "discovery/peer_client.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Settings of UpstreamPoller. */
struct UpstreamPollerSettings {
  /** Longest wait for a sign of a peer before it counts as silent (three sends). */
  Duration response_timeout = milliseconds(300);
  /** Limit of peers asked in one poll, without referrals. */
  std::size_t max_peers = 3;
  /** Limit of peers asked after a referral by a busy one: the depth of a fleet's tree. */
  std::size_t max_referrals = 5;
};

/** Result of a poll. */
struct PollResult {
  /** The newest view received; none if no peer sent one. */
  std::optional<PeerView> view;
  Endpoint upstream;
  /** The view's age is within the limit. */
  bool is_fresh = false;
};

/**
 * Asks peers in turn for changes until one sends a fresh view. A peer that a busy one refers to is
 * asked next.
 */
class UpstreamPoller {
 public:
  using Callback = std::function<void(const PollResult&)>;

  /** @param max_fresh_age maximum age of a fresh view; beyond it the next peer is asked as well. */
  UpstreamPoller(UpstreamPollerSettings settings, Duration max_fresh_age, PeerDirectory& directory,
                 PeerClient& peers);

  /** Polls the candidates in order, but first the preferred one of the previous poll. */
  void poll(std::vector<Endpoint> candidates, Revision after, Callback callback);

 private:
  struct Poll {
    std::vector<Endpoint> candidates;
    std::size_t asked_count = 0;
    /** Candidates added because of referrals. */
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
  /**
   * Reports silent peers to the directory, unless several were asked and none answered: then this
   * balancer's own network path has probably failed.
   */
  void reportSilentPeers(const Poll& poll);

  const UpstreamPollerSettings settings_;
  const Duration max_fresh_age_;
  PeerDirectory& directory_;
  PeerClient& peers_;
  Endpoint preferred_;
};

}  // namespace lugfork
