#include "discovery/upstream_poller.h"

#include <algorithm>
#include <utility>

namespace lugfork {

UpstreamPoller::UpstreamPoller(UpstreamPollSettings settings, Duration fresh_for,
                               PeerDirectory& directory, PeerClient& peers)
    : settings_(settings), fresh_for_(fresh_for), directory_(directory), peers_(peers) {}

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
  const std::size_t most = settings_.max_asked + poll->referrals;
  const std::size_t limit = std::min(poll->candidates.size(), most);
  if (poll->asked == limit) {
    // The next poll begins with those that were not asked.
    judgeSilence(*poll);
    preferred_ = limit == 0 ? Endpoint() : poll->candidates[limit % poll->candidates.size()];
    poll->callback(poll->best);
    return;
  }
  const Endpoint upstream = poll->candidates[poll->asked++];
  peers_.readView(upstream, poll->after, settings_.patience,
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
  poll->was_answered = true;
  directory_.onAnswer(upstream);
  const PeerView& view = answer.value();
  const bool is_newer = !poll->best.view || view.status.age_ms < poll->best.view->status.age_ms;
  if (is_newer) {
    const bool is_fresh = milliseconds(view.status.age_ms) <= fresh_for_;
    poll->best = {view, upstream, is_fresh};
  }
  if (poll->best.is_fresh) {
    preferred_ = upstream;
    judgeSilence(*poll);
    poll->callback(poll->best);
    return;
  }
  // Those next in rank watch the store in its place, and are asked in the next poll.
  directory_.onUnavailable(upstream);
  askNext(poll);
}

void UpstreamPoller::onRefusal(const PollPtr& poll, Endpoint upstream, const PeerRefusal& refusal) {
  if (refusal.cause == SourceError::NoAnswer) {
    poll->silent.push_back(upstream);
    return;
  }
  poll->was_answered = true;
  const bool is_busy = refusal.cause == SourceError::Throttled;
  if (!is_busy) {
    directory_.onUnavailable(upstream);
    return;
  }
  for (const Endpoint& other : refusal.others) {
    if (poll->referrals < settings_.max_referrals) {
      ++poll->referrals;
      poll->candidates.insert(poll->candidates.begin() + static_cast<std::ptrdiff_t>(poll->asked),
                              other);
    }
  }
}

void UpstreamPoller::judgeSilence(const Poll& poll) {
  const bool own_path_is_broken = !poll.was_answered && poll.silent.size() > 1;
  if (own_path_is_broken) {
    return;
  }
  for (const Endpoint& upstream : poll.silent) {
    directory_.onFailed(upstream);
  }
}

}  // namespace lugfork
