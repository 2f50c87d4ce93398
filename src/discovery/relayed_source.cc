#include "discovery/relayed_source.h"

#include <utility>

namespace lugfork {

RelayedSource::RelayedSource(RelaySettings settings, ItemSource& store, PeerClient& peers,
                             ViewStatusClient& statuses, UpstreamSelector& upstreams,
                             Scheduler& scheduler)
    : settings_(settings),
      store_(store),
      peers_(peers),
      statuses_(statuses),
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
    watchStore(request, std::move(callback));
    return;
  }
  scheduler_.callAfter(settings_.interval, [this, upstream = *upstream, request,
                                            callback = std::move(callback)]() mutable {
    askUpstream(upstream, request, std::move(callback));
  });
}

void RelayedSource::watchStore(const WatchRequest& request, WatchCallback callback) {
  if (following_) {
    leave(*following_, "watching the store");
  }
  store_.watch(request, [this, callback = std::move(callback)](
                            const Result<ItemChanges, SourceError>& answer) {
    caught_up_ = caught_up_ || answer;
    callback(answer);
  });
}

void RelayedSource::askUpstream(Endpoint upstream, const WatchRequest& request,
                                WatchCallback callback) {
  ++counters_.questions;
  statuses_.askStatus(upstream, [this, upstream, request, callback = std::move(callback)](
                                    const Result<ViewStatus, SourceError>& status) mutable {
    onStatus(upstream, request, status, std::move(callback));
  });
}

void RelayedSource::onStatus(Endpoint upstream, const WatchRequest& request,
                             const Result<ViewStatus, SourceError>& status,
                             WatchCallback callback) {
  const bool is_new = status && status.value().serves_view &&
                      milliseconds(status.value().age_ms) <= settings_.max_age;
  if (!is_new) {
    ++counters_.failures;
    upstreams_.onFailed(upstream);
    leave(upstream, !status                      ? toString(status.error())
                    : status.value().serves_view ? "view too old"
                                                 : "view not served");
    watchStore(request, std::move(callback));
    return;
  }
  upstreams_.onAnswer(upstream);
  follow(upstream);
  if (status.value().position <= request.after) {
    callback(ItemChanges{{}, request.after, status.value().age_ms});
    return;
  }
  readUpstream(upstream, request, std::move(callback));
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
