#include "discovery/relayed_source.h"

#include <algorithm>
#include <utility>

namespace lugfork {

RelayedSource::RelayedSource(RelaySettings settings, ItemSource& store, PeerClient& peers,
                             ViewNewsClient& news, UpstreamSelector& upstreams,
                             Scheduler& scheduler)
    : settings_(settings),
      store_(store),
      peers_(peers),
      news_(news),
      upstreams_(upstreams),
      scheduler_(scheduler) {}

void RelayedSource::readPage(const PageRequest& request, PageCallback callback) {
  caught_up_ = false;
  store_.readPage(request, std::move(callback));
}

void RelayedSource::watch(const WatchRequest& request, WatchCallback callback) {
  const bool may_follow = caught_up_ && host_ != nullptr && host_->storeAnswers();
  const auto upstream = may_follow ? upstreams_.choose() : std::nullopt;
  if (!upstream) {
    if (following_) {
      leave(*following_, "watching the store");
    }
    watchStore(request, std::move(callback));
    return;
  }
  const auto relayed = std::make_shared<RelayedWatch>(
      RelayedWatch{*upstream, request, std::move(callback), request.after, 0, {}});
  scheduler_.callAfter(settings_.interval, [this, relayed] { askUpstream(relayed); });
}

void RelayedSource::watchStore(const WatchRequest& request, WatchCallback callback) {
  store_.watch(request, [this, callback = std::move(callback)](
                            const Result<ItemChanges, SourceError>& answer) {
    caught_up_ = caught_up_ || answer;
    callback(answer);
  });
}

void RelayedSource::askUpstream(const RelayedWatchPtr& watch) {
  ++counters_.questions;
  news_.askNews(watch->upstream, watch->at,
                [this, watch](const Result<ViewNews, SourceError>& news) { onNews(watch, news); });
}

void RelayedSource::onNews(const RelayedWatchPtr& watch,
                           const Result<ViewNews, SourceError>& answer) {
  const bool is_new = answer && answer.value().status.serves_view &&
                      milliseconds(answer.value().status.age_ms) <= settings_.max_age;
  if (is_new) {
    upstreams_.onAnswer(watch->upstream);
    follow(watch->upstream);
    takeNews(watch, answer.value());
    return;
  }
  ++counters_.failures;
  upstreams_.onFailed(watch->upstream);
  if (!answer) {
    leave(watch->upstream, toString(answer.error()));
  } else {
    leave(watch->upstream, answer.value().status.serves_view ? "view too old" : "view not served");
  }
  watchStore(watch->request, watch->callback);
}

void RelayedSource::takeNews(const RelayedWatchPtr& watch, const ViewNews& news) {
  counters_.answered += news.changes.empty() ? 0 : 1;
  watch->changes.insert(watch->changes.end(), news.changes.begin(), news.changes.end());
  if (news.withheld) {
    takeWithheld(watch, news);
    return;
  }
  const bool more_follow = news.at < news.status.position && news.at > watch->at;
  if (!more_follow) {
    answer(*watch, news);
    return;
  }
  watch->at = news.at;
  ++watch->datagrams;
  if (watch->datagrams < settings_.max_datagrams) {
    askUpstream(watch);
    return;
  }
  ++counters_.too_large;
  watchStore(watch->request, watch->callback);
}

void RelayedSource::takeWithheld(const RelayedWatchPtr& watch, const ViewNews& news) {
  // All is read again from the watch's beginning: had the small changes before the withheld one
  // been told by themselves, an item that is large and often written would stay behind them for
  // ever.
  if (news.change_bytes <= settings_.max_relayed_bytes) {
    readUpstream(watch);
    return;
  }
  ++counters_.too_large;
  watchStore(watch->request, watch->callback);
}

void RelayedSource::answer(const RelayedWatch& watch, const ViewNews& news) {
  watch.callback(ItemChanges{watch.changes, std::max(news.at, watch.at), news.status.age_ms});
}

void RelayedSource::readUpstream(const RelayedWatchPtr& watch) {
  ++counters_.reads;
  peers_.readChanges(watch->upstream, watch->request,
                     [this, watch](const Result<ItemChanges, SourceError>& answer) {
                       if (answer) {
                         watch->callback(answer);
                         return;
                       }
                       ++counters_.failures;
                       if (answer.error() != SourceError::HistoryGone) {
                         upstreams_.onFailed(watch->upstream);
                       }
                       leave(watch->upstream, toString(answer.error()));
                       watchStore(watch->request, watch->callback);
                     });
}

void RelayedSource::follow(Endpoint upstream) {
  if (following_ == upstream) {
    return;
  }
  if (following_) {
    leave(*following_, "another upstream is chosen");
  }
  following_ = upstream;
  host_->onUpstreamFollowed(upstream);
}

void RelayedSource::leave(Endpoint upstream, std::string_view cause) {
  if (std::exchange(following_, std::nullopt) == upstream) {
    host_->onUpstreamLeft(upstream, cause);
  }
}

}  // namespace lugfork
