#include "discovery/failover_source.h"

#include <utility>

namespace lugfork {

FailoverSource::FailoverSource(FailoverSettings settings, ItemSource& store, PeerClient& peers,
                               PeerDirectory& directory, Scheduler& scheduler,
                               const TimeSource& time_source)
    : settings_(settings),
      store_(store),
      peers_(peers),
      directory_(directory),
      scheduler_(scheduler),
      time_source_(time_source) {}

void FailoverSource::readPage(const PageRequest& request, PageCallback callback) {
  if (!storeIsDue()) {
    readPageFromPeer(request, last_store_error_, std::move(callback));
    return;
  }
  store_tried_at_ = time_source_.monotonicTime();
  store_.readPage(request, [this, request, callback = std::move(callback)](
                               const Result<ItemPage, SourceError>& answer) mutable {
    if (answer || !peersMayHelp(answer.error())) {
      onStoreAnswer();
      callback(answer);
      return;
    }
    onStoreError(answer.error());
    readPageFromPeer(request, answer.error(), std::move(callback));
  });
}

void FailoverSource::watch(const WatchRequest& request, WatchCallback callback) {
  if (!storeIsDue()) {
    // Peers answer at once: a pause keeps the calls to them few.
    scheduler_.callAfter(settings_.peer_interval,
                         [this, request, callback = std::move(callback)]() mutable {
                           watchPeer(request, last_store_error_, std::move(callback));
                         });
    return;
  }
  store_tried_at_ = time_source_.monotonicTime();
  WatchRequest to_store = request;
  to_store.wait = store_failing_ ? settings_.store_probe_wait : request.wait;
  store_.watch(to_store, [this, request, callback = std::move(callback)](
                             const Result<ItemChanges, SourceError>& answer) mutable {
    if (answer || !peersMayHelp(answer.error())) {
      onStoreAnswer();
      callback(answer);
      return;
    }
    onStoreError(answer.error());
    watchPeer(request, answer.error(), std::move(callback));
  });
}

bool FailoverSource::storeIsDue() const {
  return !store_failing_ ||
         time_source_.monotonicTime() - store_tried_at_ >= settings_.store_interval;
}

void FailoverSource::onStoreAnswer() {
  store_failing_ = false;
  if (std::exchange(following_peers_, false) && host_ != nullptr) {
    host_->onStoreFollowed();
  }
}

bool FailoverSource::peersMayHelp(SourceError error) {
  return error == SourceError::NoAnswer || error == SourceError::Throttled ||
         error == SourceError::Unavailable || error == SourceError::Malformed;
}

void FailoverSource::onStoreError(SourceError error) {
  store_failing_ = true;
  last_store_error_ = error;
  store_tried_at_ = time_source_.monotonicTime();
}

void FailoverSource::readPageFromPeer(const PageRequest& request, SourceError store_error,
                                      PageCallback callback) {
  const auto peer = directory_.pick();
  if (!peer) {
    scheduler_.callAfter(Duration::zero(),
                         [callback = std::move(callback), store_error] { callback(store_error); });
    return;
  }
  peers_.readPage(*peer, request,
                  [this, peer = *peer, store_error,
                   callback = std::move(callback)](const Result<ItemPage, SourceError>& answer) {
                    if (!answer) {
                      directory_.onFailed(peer);
                      callback(store_error);
                      return;
                    }
                    onPeerAnswer(peer, store_error);
                    callback(answer);
                  });
}

void FailoverSource::watchPeer(const WatchRequest& request, SourceError store_error,
                               WatchCallback callback) {
  const auto peer = directory_.pick();
  if (!peer) {
    scheduler_.callAfter(Duration::zero(),
                         [callback = std::move(callback), store_error] { callback(store_error); });
    return;
  }
  peers_.readChanges(*peer, request,
                     [this, peer = *peer, store_error, callback = std::move(callback)](
                         const Result<ItemChanges, SourceError>& answer) {
                       if (answer || answer.error() == SourceError::HistoryGone) {
                         onPeerAnswer(peer, store_error);
                         callback(answer);
                         return;
                       }
                       directory_.onFailed(peer);
                       callback(store_error);
                     });
}

void FailoverSource::onPeerAnswer(Endpoint peer, SourceError store_error) {
  directory_.onAlive(peer);
  if (!std::exchange(following_peers_, true) && host_ != nullptr) {
    host_->onPeerFollowed(peer, store_error);
  }
}

}  // namespace lugfork
