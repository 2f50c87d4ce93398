#include "discovery/upstream_source.h"

#include <algorithm>
#include <utility>

namespace lugfork {

const char* toString(Upstream upstream) {
  switch (upstream) {
    case Upstream::None:
      return "none";
    case Upstream::Store:
      return "store";
    case Upstream::Balancer:
      return "balancer";
    case Upstream::StandIn:
      return "stand_in";
  }
  return "unknown";
}

UpstreamSource::UpstreamSource(UpstreamSourceSettings settings, Endpoint own_address,
                               ItemSource& store, PeerClient* peers, PeerDirectory& directory,
                               UpstreamSelector& selector, Scheduler& scheduler,
                               const TimeSource& time_source)
    : settings_(settings),
      own_address_(own_address),
      store_(store),
      peers_(peers),
      directory_(directory),
      selector_(selector),
      scheduler_(scheduler),
      time_source_(time_source),
      schedule_(settings.probes, own_address, directory, time_source) {
  if (peers_ != nullptr) {
    first_view_ = std::make_unique<FirstViewReader>(settings_.first_view, own_address_, directory_,
                                                    *peers_, scheduler_, time_source_);
    poller_ = std::make_unique<UpstreamPoller>(
        settings_.poll, settings_.probes.budget.max_fresh_age, directory_, *peers_);
  }
}

void UpstreamSource::readPage(const PageRequest& request, PageCallback callback) {
  caught_up_ = false;
  const bool goes_on = !request.after_key.empty();
  if (goes_on || startsAtStore()) {
    readStore(request, std::move(callback));
    return;
  }
  const bool knows_fleet = directory_.hasPeers();
  const auto first = knows_fleet ? selector_.upstreams() : std::vector<Endpoint>();
  first_view_->read(first,
                    [this, request, callback = std::move(callback)](std::optional<PeerView> view) {
                      if (!view) {
                        readStore(request, callback);
                        return;
                      }
                      ++counters_.views_from_balancers;
                      caught_up_ = true;
                      schedule_.onStateReceived(view->status.age_ms);
                      callback(toPage(std::move(*view)));
                    });
}

bool UpstreamSource::startsAtStore() {
  if (peers_ == nullptr) {
    return true;
  }
  const bool knows_fleet = directory_.hasPeers();
  if (knows_fleet) {
    return selector_.upstreams().empty();
  }
  return directory_.isSeed() || directory_.ranked(1).empty();
}

void UpstreamSource::readStore(const PageRequest& request, PageCallback callback) {
  ++counters_.pages_from_store;
  schedule_.onStoreCalled();
  const auto race = std::make_shared<PageRace>();
  race->callback = std::move(callback);
  store_.readPage(request, [this, race](const Result<ItemPage, SourceError>& answer) {
    if (answer || !peersMayHelp(answer.error())) {
      schedule_.onStoreAnswer();
      if (!std::exchange(race->is_over, true)) {
        schedule_.onStateReceived(0);
        race->callback(answer);
      }
      return;
    }
    onStoreError(answer.error());
    race->store_error = answer.error();
    askPeersToo(race);
    finishRace(race);
  });
  scheduler_.callAfter(settings_.store_hedge_after, [this, race] { askPeersToo(race); });
}

void UpstreamSource::askPeersToo(const PageRacePtr& race) {
  if (race->is_over || std::exchange(race->peers_asked, true)) {
    return;
  }
  if (peers_ == nullptr) {
    race->peers_failed = true;
    finishRace(race);
    return;
  }
  ++counters_.stand_ins;
  poller_->poll(selector_.standIns(), 0, [this, race](const PollResult& result) {
    if (race->is_over) {
      return;
    }
    if (!result.view || !result.view->is_whole) {
      race->peers_failed = true;
      finishRace(race);
      return;
    }
    race->is_over = true;
    directory_.onPeersReported(result.view->peers);
    ++counters_.views_from_balancers;
    caught_up_ = true;
    schedule_.onStateReceived(result.view->status.age_ms);
    setUpstream(Upstream::StandIn, result.upstream, "the store gives no page");
    race->callback(toPage(*result.view));
  });
}

void UpstreamSource::finishRace(const PageRacePtr& race) {
  if (race->is_over || !race->store_error || !race->peers_failed) {
    return;
  }
  race->is_over = true;
  // Never at once: the caller may still be inside its call.
  scheduler_.callAfter(Duration::zero(), [race] { race->callback(*race->store_error); });
}

void UpstreamSource::watch(const WatchRequest& request, WatchCallback user_callback) {
  WatchCallback callback = withLateChanges(std::move(user_callback));
  const bool stays_at_store =
      time_source_.monotonicTime() < store_until_ && !schedule_.isStoreFailing();
  const bool follows =
      peers_ != nullptr && caught_up_ && !stays_at_store && !selector_.upstreams().empty();
  if (!follows) {
    watchStore(request, std::move(callback));
    return;
  }
  const auto followed = std::make_shared<FollowedWatch>();
  followed->request = request;
  followed->callback = std::move(callback);
  scheduler_.callAfter(settings_.probes.budget.poll_interval,
                       [this, followed] { pollUpstreams(followed); });
  askStoreInTime(followed);
}

void UpstreamSource::pollUpstreams(const FollowedWatchPtr& watch) {
  if (watch->is_over) {
    return;
  }
  ++counters_.polls;
  poller_->poll(selector_.upstreams(), watch->request.after,
                [this, watch](const PollResult& result) { onPolled(watch, result); });
}

void UpstreamSource::onPolled(const FollowedWatchPtr& watch, const PollResult& result) {
  if (watch->is_over) {
    return;
  }
  if (result.is_fresh) {
    schedule_.onFreshUpstream();
    setUpstream(Upstream::Balancer, result.upstream, "it has a fresh view");
    answer(watch, changesOf(result));
    return;
  }
  ++counters_.polls_without_fresh_view;
  schedule_.onNoFreshUpstream();
  watch->old_result = result;
  if (watch->store_asked) {
    finishWithoutStore(watch);
    return;
  }
  const bool is_due = schedule_.isProbeDue() || schedule_.untilDeadline() <= Duration::zero();
  if (is_due && schedule_.mayProbe()) {
    probeStore(watch, "no upstream has a fresh view");
    return;
  }
  if (result.view) {
    answer(watch, changesOf(result));
    return;
  }
  standInFor(watch);
}

void UpstreamSource::askStoreInTime(const FollowedWatchPtr& watch) {
  const Duration left = std::max(Duration::zero(), schedule_.untilDeadline());
  scheduler_.callAfter(left, [this, watch] { onDeadline(watch); });
}

void UpstreamSource::onDeadline(const FollowedWatchPtr& watch) {
  if (watch->is_over || watch->store_asked || !schedule_.mayProbe()) {
    return;
  }
  ++counters_.deadline_asks;
  probeStore(watch, "the view grew old before a poll was over");
}

void UpstreamSource::probeStore(const FollowedWatchPtr& watch, std::string_view cause) {
  ++counters_.watches_of_store;
  schedule_.onStoreCalled();
  watch->store_asked = true;
  WatchRequest probe = watch->request;
  probe.wait = settings_.store_probe_wait;
  store_.watch(probe, [this, watch, cause](const Result<ItemChanges, SourceError>& changes) {
    if (!changes && peersMayHelp(changes.error())) {
      onStoreError(changes.error());
      watch->store_error = changes.error();
      finishWithoutStore(watch);
      return;
    }
    schedule_.onStoreAnswer();
    if (watch->is_over) {
      keepLate(changes);
      return;
    }
    store_until_ = time_source_.monotonicTime() + settings_.store_stay;
    setUpstream(Upstream::Store, Endpoint(), cause);
    schedule_.onStateReceived(changes ? changes.value().age_ms : 0);
    answer(watch, changes);
  });
}

void UpstreamSource::finishWithoutStore(const FollowedWatchPtr& watch) {
  const bool is_waiting = !watch->store_error || !watch->old_result;
  if (watch->is_over || is_waiting) {
    return;
  }
  if (watch->old_result->view) {
    answer(watch, changesOf(*watch->old_result));
    return;
  }
  answer(watch, *watch->store_error);
}

void UpstreamSource::watchStore(const WatchRequest& request, WatchCallback callback) {
  if (!schedule_.mayWatch()) {
    scheduler_.callAfter(settings_.probes.budget.poll_interval,
                         [this, request, callback = std::move(callback)] {
                           standIn(request, last_store_error_, callback);
                         });
    return;
  }
  ++counters_.watches_of_store;
  schedule_.onStoreCalled();
  WatchRequest to_store = request;
  to_store.wait = schedule_.isStoreFailing() ? settings_.store_probe_wait : request.wait;
  store_.watch(to_store, [this, request, callback = std::move(callback)](
                             const Result<ItemChanges, SourceError>& answer) {
    if (answer || !peersMayHelp(answer.error())) {
      schedule_.onStoreAnswer();
      if (answer && !std::exchange(caught_up_, true)) {
        announceView(answer.value().at);
      }
      schedule_.onStateReceived(answer ? answer.value().age_ms : 0);
      setUpstream(Upstream::Store, Endpoint(), "it answers");
      callback(answer);
      return;
    }
    onStoreError(answer.error());
    standIn(request, answer.error(), callback);
  });
}

void UpstreamSource::announceView(Revision position) {
  if (peers_ == nullptr) {
    return;
  }
  for (const Endpoint& seed : directory_.shuffledSeeds()) {
    peers_->readView(seed, position, settings_.poll.patience,
                     [this, seed](const Result<PeerView, PeerRefusal>& answer) {
                       if (answer) {
                         directory_.onAnswer(seed);
                       }
                     });
  }
}

void UpstreamSource::standIn(const WatchRequest& request, SourceError error,
                             const WatchCallback& callback) {
  const auto fail = [callback, error] { callback(error); };
  if (peers_ == nullptr) {
    scheduler_.callAfter(Duration::zero(), fail);
    return;
  }
  std::vector<Endpoint> candidates = selector_.standIns();
  if (candidates.empty()) {
    scheduler_.callAfter(Duration::zero(), fail);
    return;
  }
  ++counters_.stand_ins;
  poller_->poll(std::move(candidates), request.after,
                [this, callback, error](const PollResult& result) {
                  if (!result.view) {
                    callback(error);
                    return;
                  }
                  setUpstream(Upstream::StandIn, result.upstream, toString(error));
                  callback(changesOf(result));
                });
}

void UpstreamSource::standInFor(const FollowedWatchPtr& watch) {
  standIn(watch->request, last_store_error_,
          [watch](const Result<ItemChanges, SourceError>& changes) {
            // The store's answer is waited for where it has been asked meanwhile.
            const bool store_may_answer = watch->store_asked && !watch->store_error;
            if (changes || !store_may_answer) {
              answer(watch, changes);
            }
          });
}

void UpstreamSource::answer(const FollowedWatchPtr& watch,
                            const Result<ItemChanges, SourceError>& changes) {
  if (!std::exchange(watch->is_over, true)) {
    watch->callback(changes);
  }
}

void UpstreamSource::keepLate(const Result<ItemChanges, SourceError>& changes) {
  if (changes) {
    const std::vector<ItemChange>& told = changes.value().changes;
    late_changes_.insert(late_changes_.end(), told.begin(), told.end());
  }
}

ItemSource::WatchCallback UpstreamSource::withLateChanges(WatchCallback callback) {
  return [this, callback = std::move(callback)](Result<ItemChanges, SourceError> answer) {
    if (answer && !late_changes_.empty()) {
      std::vector<ItemChange>& changes = answer.value().changes;
      changes.insert(changes.begin(), late_changes_.begin(), late_changes_.end());
      late_changes_.clear();
    }
    callback(std::move(answer));
  };
}

Result<ItemChanges, SourceError> UpstreamSource::changesOf(const PollResult& result) {
  const PeerView& view = *result.view;
  schedule_.onStateReceived(view.status.age_ms);
  counters_.polls_with_changes += view.changes.empty() ? 0 : 1;
  if (view.is_whole) {
    // Not asked for; the read that follows asks for it.
    return SourceError::HistoryGone;
  }
  return ItemChanges{view.changes, view.at, view.status.age_ms};
}

void UpstreamSource::onStoreError(SourceError error) {
  schedule_.onStoreError();
  last_store_error_ = error;
}

void UpstreamSource::setUpstream(Upstream upstream, Endpoint balancer, std::string_view cause) {
  if (upstream_ == upstream && upstream_balancer_ == balancer) {
    return;
  }
  upstream_ = upstream;
  upstream_balancer_ = balancer;
  if (listener_ != nullptr) {
    listener_->onUpstreamChanged(upstream, balancer, cause);
  }
}

bool UpstreamSource::peersMayHelp(SourceError error) {
  return error == SourceError::NoAnswer || error == SourceError::Throttled ||
         error == SourceError::Unavailable || error == SourceError::Malformed;
}

ItemPage UpstreamSource::toPage(PeerView view) {
  ItemPage page;
  page.at = view.at;
  page.age_ms = view.status.age_ms;
  page.is_whole_view = true;
  page.items.reserve(view.changes.size());
  for (ItemChange& change : view.changes) {
    page.items.push_back(std::move(change.item));
  }
  return page;
}

}  // namespace lugfork
