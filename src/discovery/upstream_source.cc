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
    case Upstream::FallbackPeer:
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
  const bool is_continuation = !request.after_key.empty();
  if (is_continuation || readsStoreFirst()) {
    readStore(request, std::move(callback));
    return;
  }
  const bool has_known_peers = directory_.hasPeers();
  const auto candidates = has_known_peers ? selector_.upstreams() : std::vector<Endpoint>();
  first_view_->read(candidates,
                    [this, request, callback = std::move(callback)](std::optional<PeerView> view) {
                      if (!view) {
                        readStore(request, callback);
                        return;
                      }
                      ++counters_.views_from_peers;
                      caught_up_ = true;
                      schedule_.onStateReceived(view->status.age_ms);
                      callback(toPage(std::move(*view)));
                    });
}

bool UpstreamSource::readsStoreFirst() {
  if (peers_ == nullptr) {
    return true;
  }
  const bool has_known_peers = directory_.hasPeers();
  if (has_known_peers) {
    return selector_.upstreams().empty();
  }
  return directory_.isSeed() || directory_.ranked(1).empty();
}

void UpstreamSource::readStore(const PageRequest& request, PageCallback callback) {
  ++counters_.store_page_reads;
  schedule_.onStoreCalled();
  const auto race = std::make_shared<PageRace>();
  race->callback = std::move(callback);
  store_.readPage(request, [this, race](const Result<ItemPage, SourceError>& answer) {
    if (answer || !canPeersAnswer(answer.error())) {
      schedule_.onStoreAnswer();
      if (!std::exchange(race->is_done, true)) {
        schedule_.onStateReceived(0);
        race->callback(answer);
      }
      return;
    }
    onStoreError(answer.error());
    race->store_error = answer.error();
    pollPeersToo(race);
    finishRace(race);
  });
  scheduler_.callAfter(settings_.store_hedge_delay, [this, race] { pollPeersToo(race); });
}

void UpstreamSource::pollPeersToo(const PageRacePtr& race) {
  if (race->is_done || std::exchange(race->peers_polled, true)) {
    return;
  }
  if (peers_ == nullptr) {
    race->peers_failed = true;
    finishRace(race);
    return;
  }
  ++counters_.fallback_polls;
  poller_->poll(selector_.fallbackPeers(), 0, [this, race](const PollResult& result) {
    if (race->is_done) {
      return;
    }
    if (!result.view || !result.view->is_whole) {
      race->peers_failed = true;
      finishRace(race);
      return;
    }
    race->is_done = true;
    directory_.onPeersReported(result.view->peers);
    ++counters_.views_from_peers;
    caught_up_ = true;
    schedule_.onStateReceived(result.view->status.age_ms);
    setUpstream(Upstream::FallbackPeer, result.upstream, "store read failed or timed out");
    race->callback(toPage(*result.view));
  });
}

void UpstreamSource::finishRace(const PageRacePtr& race) {
  if (race->is_done || !race->store_error || !race->peers_failed) {
    return;
  }
  race->is_done = true;
  // Deferred, because callbacks must not run within the call that they answer.
  scheduler_.callAfter(Duration::zero(), [race] { race->callback(*race->store_error); });
}

void UpstreamSource::watch(const WatchRequest& request, WatchCallback original_callback) {
  WatchCallback callback = withLateChanges(std::move(original_callback));
  const bool keeps_store =
      time_source_.monotonicTime() < watch_store_until_ && !schedule_.isStoreFailing();
  const bool polls_upstreams =
      peers_ != nullptr && caught_up_ && !keeps_store && !selector_.upstreams().empty();
  if (!polls_upstreams) {
    watchStore(request, std::move(callback));
    return;
  }
  const auto polled = std::make_shared<PolledWatch>();
  polled->request = request;
  polled->callback = std::move(callback);
  scheduler_.callAfter(settings_.probes.budget.poll_interval,
                       [this, polled] { pollUpstreams(polled); });
  scheduleDeadline(polled);
}

void UpstreamSource::pollUpstreams(const PolledWatchPtr& watch) {
  if (watch->is_done) {
    return;
  }
  ++counters_.polls;
  poller_->poll(selector_.upstreams(), watch->request.after,
                [this, watch](const PollResult& result) { onPolled(watch, result); });
}

void UpstreamSource::onPolled(const PolledWatchPtr& watch, const PollResult& result) {
  if (watch->is_done) {
    return;
  }
  if (result.is_fresh) {
    schedule_.onFreshUpstream();
    setUpstream(Upstream::Balancer, result.upstream, "balancer has a fresh view");
    answer(watch, changesOf(result));
    return;
  }
  ++counters_.polls_without_fresh_view;
  schedule_.onNoFreshUpstream();
  watch->stale_result = result;
  if (watch->store_probed) {
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
  pollFallbackPeersFor(watch);
}

void UpstreamSource::scheduleDeadline(const PolledWatchPtr& watch) {
  const Duration remaining = std::max(Duration::zero(), schedule_.untilDeadline());
  scheduler_.callAfter(remaining, [this, watch] { onDeadline(watch); });
}

void UpstreamSource::onDeadline(const PolledWatchPtr& watch) {
  if (watch->is_done || watch->store_probed || !schedule_.mayProbe()) {
    return;
  }
  ++counters_.deadline_probes;
  probeStore(watch, "view reached its maximum age during a poll");
}

void UpstreamSource::probeStore(const PolledWatchPtr& watch, std::string_view cause) {
  ++counters_.store_watches;
  schedule_.onStoreCalled();
  watch->store_probed = true;
  WatchRequest probe = watch->request;
  probe.wait = settings_.store_probe_wait;
  store_.watch(probe, [this, watch, cause](const Result<ItemChanges, SourceError>& changes) {
    if (!changes && canPeersAnswer(changes.error())) {
      onStoreError(changes.error());
      watch->store_error = changes.error();
      finishWithoutStore(watch);
      return;
    }
    schedule_.onStoreAnswer();
    if (watch->is_done) {
      keepLateChanges(changes);
      return;
    }
    watch_store_until_ = time_source_.monotonicTime() + settings_.store_watch_ttl;
    setUpstream(Upstream::Store, Endpoint(), cause);
    schedule_.onStateReceived(changes ? changes.value().age_ms : 0);
    answer(watch, changes);
  });
}

void UpstreamSource::finishWithoutStore(const PolledWatchPtr& watch) {
  const bool is_pending = !watch->store_error || !watch->stale_result;
  if (watch->is_done || is_pending) {
    return;
  }
  if (watch->stale_result->view) {
    answer(watch, changesOf(*watch->stale_result));
    return;
  }
  answer(watch, *watch->store_error);
}

void UpstreamSource::watchStore(const WatchRequest& request, WatchCallback callback) {
  if (!schedule_.mayWatch()) {
    scheduler_.callAfter(settings_.probes.budget.poll_interval,
                         [this, request, callback = std::move(callback)] {
                           pollFallbackPeers(request, last_store_error_, callback);
                         });
    return;
  }
  ++counters_.store_watches;
  schedule_.onStoreCalled();
  WatchRequest store_request = request;
  store_request.wait = schedule_.isStoreFailing() ? settings_.store_probe_wait : request.wait;
  store_.watch(store_request, [this, request, callback = std::move(callback)](
                                  const Result<ItemChanges, SourceError>& answer) {
    if (answer || !canPeersAnswer(answer.error())) {
      schedule_.onStoreAnswer();
      if (answer && !std::exchange(caught_up_, true)) {
        announceView(answer.value().at);
      }
      schedule_.onStateReceived(answer ? answer.value().age_ms : 0);
      setUpstream(Upstream::Store, Endpoint(), "store answers");
      callback(answer);
      return;
    }
    onStoreError(answer.error());
    pollFallbackPeers(request, answer.error(), callback);
  });
}

void UpstreamSource::announceView(Revision position) {
  if (peers_ == nullptr) {
    return;
  }
  for (const Endpoint& seed : directory_.shuffledSeeds()) {
    peers_->readView(seed, position, settings_.poll.response_timeout,
                     [this, seed](const Result<PeerView, PeerRefusal>& answer) {
                       if (answer) {
                         directory_.onAnswer(seed);
                       }
                     });
  }
}

void UpstreamSource::pollFallbackPeers(const WatchRequest& request, SourceError error,
                                       const WatchCallback& callback) {
  const auto fail = [callback, error] { callback(error); };
  if (peers_ == nullptr) {
    scheduler_.callAfter(Duration::zero(), fail);
    return;
  }
  std::vector<Endpoint> candidates = selector_.fallbackPeers();
  if (candidates.empty()) {
    scheduler_.callAfter(Duration::zero(), fail);
    return;
  }
  ++counters_.fallback_polls;
  poller_->poll(std::move(candidates), request.after,
                [this, callback, error](const PollResult& result) {
                  if (!result.view) {
                    callback(error);
                    return;
                  }
                  setUpstream(Upstream::FallbackPeer, result.upstream, toString(error));
                  callback(changesOf(result));
                });
}

void UpstreamSource::pollFallbackPeersFor(const PolledWatchPtr& watch) {
  pollFallbackPeers(watch->request, last_store_error_,
                    [watch](const Result<ItemChanges, SourceError>& changes) {
                      // A store probe that has been sent in the meantime may still answer.
                      const bool store_may_answer = watch->store_probed && !watch->store_error;
                      if (changes || !store_may_answer) {
                        answer(watch, changes);
                      }
                    });
}

void UpstreamSource::answer(const PolledWatchPtr& watch,
                            const Result<ItemChanges, SourceError>& changes) {
  if (!std::exchange(watch->is_done, true)) {
    watch->callback(changes);
  }
}

void UpstreamSource::keepLateChanges(const Result<ItemChanges, SourceError>& changes) {
  if (changes) {
    const std::vector<ItemChange>& late = changes.value().changes;
    late_changes_.insert(late_changes_.end(), late.begin(), late.end());
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
    // A whole view does not answer a watch; the full read that follows requests it.
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

bool UpstreamSource::canPeersAnswer(SourceError error) {
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
