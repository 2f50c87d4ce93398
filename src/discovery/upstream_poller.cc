#include "discovery/upstream_poller.h"

#include <algorithm>
#include <utility>

namespace lugfork {

UpstreamPoller::UpstreamPoller(UpstreamPollerSettings settings, Duration max_fresh_age,
                               PeerDirectory& directory, PeerClient& peers)
    : settings_(settings), max_fresh_age_(max_fresh_age), directory_(directory), peers_(peers) {}

void UpstreamPoller::poll(std::vector<Endpoint> candidates, Revision after, Callback callback) {
  const auto preferred = std::find(candidates.begin(), candidates.end(), preferred_);
  if (preferred != candidates.end()) {
    std::rotate(candidates.begin(), preferred, candidates.end());
  }
  const auto poll = std::make_shared<Poll>();
  poll->candidates = std::move(candidates);
  poll->after = after;
  poll->callback = std::move(callback);
  askNext(poll);
}

void UpstreamPoller::askNext(const PollPtr& poll) {
  const std::size_t max_asked = settings_.max_peers + poll->referral_count;
  const std::size_t limit = std::min(poll->candidates.size(), max_asked);
  if (poll->asked_count == limit) {
    // The next poll starts with the candidates that were not asked.
    reportSilentPeers(*poll);
    preferred_ = limit == 0 ? Endpoint() : poll->candidates[limit % poll->candidates.size()];
    poll->callback(poll->best);
    return;
  }
  const Endpoint upstream = poll->candidates[poll->asked_count++];
  peers_.readView(upstream, poll->after, settings_.response_timeout,
                  [this, poll, upstream](const Result<PeerView, PeerRefusal>& answer) {
                    onAnswer(poll, upstream, answer);
                  });
}

void UpstreamPoller::onAnswer(const PollPtr& poll, Endpoint upstream,
                              const Result<PeerView, PeerRefusal>& answer) {
  if (!answer) {
    onRefusal(poll, upstream, answer.error());
    askNext(poll);
    return;
  }
  poll->has_answer = true;
  directory_.onAnswer(upstream);
  const PeerView& view = answer.value();
  const bool is_newer = !poll->best.view || view.status.age_ms < poll->best.view->status.age_ms;
  if (is_newer) {
    const bool is_fresh = milliseconds(view.status.age_ms) <= max_fresh_age_;
    poll->best = {view, upstream, is_fresh};
  }
  if (poll->best.is_fresh) {
    preferred_ = upstream;
    reportSilentPeers(*poll);
    poll->callback(poll->best);
    return;
  }
  // The peers next in rank watch the store in its place and are asked in the next poll.
  directory_.onUnavailable(upstream);
  askNext(poll);
}

void UpstreamPoller::onRefusal(const PollPtr& poll, Endpoint upstream, const PeerRefusal& refusal) {
  if (refusal.cause == SourceError::NoAnswer) {
    poll->silent_peers.push_back(upstream);
    return;
  }
  poll->has_answer = true;
  const bool is_busy = refusal.cause == SourceError::Throttled;
  if (!is_busy) {
    directory_.onUnavailable(upstream);
    return;
  }
  for (const Endpoint& other : refusal.others) {
    if (poll->referral_count < settings_.max_referrals) {
      ++poll->referral_count;
      poll->candidates.insert(
          poll->candidates.begin() + static_cast<std::ptrdiff_t>(poll->asked_count), other);
    }
  }
}

void UpstreamPoller::reportSilentPeers(const Poll& poll) {
  const bool is_local_path_broken = !poll.has_answer && poll.silent_peers.size() > 1;
  if (is_local_path_broken) {
    return;
  }
  for (const Endpoint& upstream : poll.silent_peers) {
    directory_.onFailed(upstream);
  }
}

}  // namespace lugfork
