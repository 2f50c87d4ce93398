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
  scheduler_.callAfter(settings_.interval, [this, upstream = *upstream, request,
                                            callback = std::move(callback)]() mutable {
    askUpstream(upstream, request, std::move(callback));
  });
}

void RelayedSource::watchStore(const WatchRequest& request, WatchCallback callback) {
  store_.watch(request, [this, callback = std::move(callback)](
                            const Result<ItemChanges, SourceError>& answer) {
    caught_up_ = caught_up_ || answer;
    callback(answer);
  });
}

void RelayedSource::askUpstream(Endpoint upstream, const WatchRequest& request,
                                WatchCallback callback) {
  ++counters_.questions;
  news_.askNews(upstream, request.after,
                [this, upstream, request, callback = std::move(callback)](
                    const Result<ViewNews, SourceError>& answer) mutable {
                  onNews(upstream, request, answer, std::move(callback));
                });
}

void RelayedSource::onNews(Endpoint upstream, const WatchRequest& request,
                           const Result<ViewNews, SourceError>& answer, WatchCallback callback) {
  const bool is_new = answer && answer.value().status.serves_view &&
                      milliseconds(answer.value().status.age_ms) <= settings_.max_age;
  if (is_new) {
    upstreams_.onAnswer(upstream);
    follow(upstream);
    takeNews(upstream, request, answer.value(), std::move(callback));
    return;
  }
  ++counters_.failures;
  upstreams_.onFailed(upstream);
  if (!answer) {
    leave(upstream, toString(answer.error()));
  } else {
    leave(upstream, answer.value().status.serves_view ? "view too old" : "view not served");
  }
  watchStore(request, std::move(callback));
}

void RelayedSource::takeNews(Endpoint upstream, const WatchRequest& request, const ViewNews& news,
                             WatchCallback callback) {
  if (!news.withheld) {
    counters_.answered += news.changes.empty() ? 0 : 1;
    callback(ItemChanges{news.changes, std::max(news.status.position, request.after),
                         news.status.age_ms});
    return;
  }
  if (news.change_bytes <= settings_.max_relayed_bytes) {
    readUpstream(upstream, request, std::move(callback));
    return;
  }
  ++counters_.too_large;
  watchStore(request, std::move(callback));
}

void RelayedSource::readUpstream(Endpoint upstream, const WatchRequest& request,
                                 WatchCallback callback) {
  ++counters_.reads;
  peers_.readChanges(upstream, request,
                     [this, upstream, request, callback = std::move(callback)](
                         const Result<ItemChanges, SourceError>& answer) mutable {
                       if (answer) {
                         callback(answer);
                         return;
                       }
                       ++counters_.failures;
                       if (answer.error() != SourceError::HistoryGone) {
                         upstreams_.onFailed(upstream);
                       }
                       leave(upstream, toString(answer.error()));
                       watchStore(request, std::move(callback));
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
