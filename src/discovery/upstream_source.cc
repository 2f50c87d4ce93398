#include "discovery/upstream_source.h"

#include <algorithm>
#include <limits>
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
      time_source_(time_source) {
  if (peers_ != nullptr) {
    first_view_ = std::make_unique<FirstViewReader>(settings_.first_view, own_address_, directory_,
                                                    *peers_, scheduler_, time_source_);
    poller_ = std::make_unique<UpstreamPoller>(settings_.poll, directory_, *peers_);
  }
}

void UpstreamSource::readPage(const PageRequest& request, PageCallback callback) {
  caught_up_ = false;
  const bool goes_on = !request.after_key.empty();
  if (goes_on || startsAtStore()) {
    readStore(request, std::move(callback));
    return;
  }
  const bool knows_fleet = !directory_.recent().empty();
  const auto first = knows_fleet ? selector_.upstreams() : std::vector<Endpoint>();
  first_view_->read(
      first, [this, request, callback = std::move(callback)](const std::optional<PeerView>& view) {
        if (!view) {
          readStore(request, callback);
          return;
        }
        ++counters_.views_from_balancers;
        caught_up_ = true;
        callback(toPage(*view));
      });
}

bool UpstreamSource::startsAtStore() {
  if (peers_ == nullptr) {
    return true;
  }
  const bool knows_fleet = !directory_.recent().empty();
  if (knows_fleet) {
    return selector_.upstreams().empty();
  }
  return directory_.isSeed() || directory_.ranked().empty();
}

void UpstreamSource::readStore(const PageRequest& request, PageCallback callback) {
  ++counters_.pages_from_store;
  store_tried_at_ = time_source_.monotonicTime();
  const auto race = std::make_shared<PageRace>();
  race->callback = std::move(callback);
  store_.readPage(request, [this, race](const Result<ItemPage, SourceError>& answer) {
    if (answer || !peersMayHelp(answer.error())) {
      onStoreAnswer();
      if (!std::exchange(race->is_over, true)) {
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
    directory_.onTold(result.view->peers);
    ++counters_.views_from_balancers;
    caught_up_ = true;
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

void UpstreamSource::watch(const WatchRequest& request, WatchCallback callback) {
  const bool stays_at_store = time_source_.monotonicTime() < store_until_ && !store_failing_;
  const bool follows =
      peers_ != nullptr && caught_up_ && !stays_at_store && !selector_.upstreams().empty();
  if (!follows) {
    watchStore(request, std::move(callback));
    return;
  }
  scheduler_.callAfter(settings_.poll_interval,
                       [this, request, callback = std::move(callback)]() mutable {
                         pollUpstreams(request, std::move(callback));
                       });
}

void UpstreamSource::pollUpstreams(const WatchRequest& request, WatchCallback callback) {
  ++counters_.polls;
  poller_->poll(selector_.upstreams(), request.after,
                [this, request, callback = std::move(callback)](const PollResult& result) {
                  onPolled(request, callback, result);
                });
}

void UpstreamSource::onPolled(const WatchRequest& request, const WatchCallback& callback,
                              const PollResult& result) {
  if (result.is_fresh) {
    old_since_.reset();
    setUpstream(Upstream::Balancer, result.upstream, "it has a fresh view");
    deliver(result, callback);
    return;
  }
  ++counters_.polls_without_fresh_view;
  if (!old_since_) {
    old_since_ = time_source_.monotonicTime();
  }
  if (probeIsDue()) {
    probeStore(request, callback, result);
    return;
  }
  if (result.view) {
    deliver(result, callback);
    return;
  }
  standIn(request, last_store_error_, callback);
}

void UpstreamSource::probeStore(const WatchRequest& request, const WatchCallback& callback,
                                const PollResult& result) {
  ++counters_.watches_of_store;
  store_tried_at_ = time_source_.monotonicTime();
  WatchRequest probe = request;
  probe.wait = settings_.store_probe_wait;
  store_.watch(probe, [this, result, callback](const Result<ItemChanges, SourceError>& answer) {
    if (answer || !peersMayHelp(answer.error())) {
      onStoreAnswer();
      store_until_ = time_source_.monotonicTime() + settings_.store_stay;
      setUpstream(Upstream::Store, Endpoint(), "no upstream has a fresh view");
      callback(answer);
      return;
    }
    onStoreError(answer.error());
    if (result.view) {
      deliver(result, callback);
      return;
    }
    callback(answer.error());
  });
}

void UpstreamSource::watchStore(const WatchRequest& request, WatchCallback callback) {
  if (!storeIsDue()) {
    scheduler_.callAfter(settings_.poll_interval, [this, request, callback = std::move(callback)] {
      standIn(request, last_store_error_, callback);
    });
    return;
  }
  ++counters_.watches_of_store;
  store_tried_at_ = time_source_.monotonicTime();
  WatchRequest to_store = request;
  to_store.wait = store_failing_ ? settings_.store_probe_wait : request.wait;
  store_.watch(to_store, [this, request, callback = std::move(callback)](
                             const Result<ItemChanges, SourceError>& answer) {
    if (answer || !peersMayHelp(answer.error())) {
      onStoreAnswer();
      if (answer && !std::exchange(caught_up_, true)) {
        announceView(answer.value().at);
      }
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
                         directory_.onAlive(seed);
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
                  deliver(result, callback);
                });
}

void UpstreamSource::deliver(const PollResult& result, const WatchCallback& callback) {
  const PeerView& view = *result.view;
  counters_.polls_with_changes += view.changes.empty() ? 0 : 1;
  if (view.is_whole) {
    // Not asked for; the read that follows asks for it.
    callback(SourceError::HistoryGone);
    return;
  }
  callback(ItemChanges{view.changes, view.at, view.status.age_ms});
}

bool UpstreamSource::storeIsDue() const {
  return !store_failing_ ||
         time_source_.monotonicTime() - store_tried_at_ >= settings_.store_interval;
}

bool UpstreamSource::probeIsDue() {
  const MonotonicTime now = time_source_.monotonicTime();
  const Duration spread = probeSpread();
  const double all_ranks = static_cast<double>(std::numeric_limits<PeerRank>::max());
  const double share = static_cast<double>(peerRank(own_address_)) / all_ranks;
  const Duration own_delay(static_cast<std::int64_t>(share * static_cast<double>(spread.count())));
  const Duration interval = std::max(settings_.store_interval, 2 * spread);
  const bool is_turn = now - *old_since_ >= own_delay;
  return is_turn && (!store_failing_ || now - store_tried_at_ >= interval);
}

Duration UpstreamSource::probeSpread() {
  const double crowd = std::max(0.0, directory_.fleetSize() - settings_.uncrowded_fleet);
  const double spread_seconds = crowd / settings_.probes_per_second;
  const std::chrono::duration<double> spread(spread_seconds);
  return std::min(std::chrono::duration_cast<Duration>(spread), settings_.longest_probe_spread);
}

void UpstreamSource::onStoreAnswer() {
  store_failing_ = false;
}

void UpstreamSource::onStoreError(SourceError error) {
  store_failing_ = true;
  last_store_error_ = error;
  store_tried_at_ = time_source_.monotonicTime();
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

ItemPage UpstreamSource::toPage(const PeerView& view) {
  ItemPage page;
  page.at = view.at;
  page.age_ms = view.status.age_ms;
  page.is_whole_view = true;
  page.items.reserve(view.changes.size());
  for (const ItemChange& change : view.changes) {
    page.items.push_back(change.item);
  }
  return page;
}

}  // namespace lugfork
