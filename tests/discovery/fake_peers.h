#pragma once

#include <optional>

#include "discovery/peer_client.h"

namespace lugfork {

/** Answers every call with what the test set, or not at all. */
struct FakePeers : PeerClient {
  void readPage(Endpoint, const PageRequest&, ItemSource::PageCallback callback) override {
    ++calls;
    callback(alive ? Result<ItemPage, SourceError>(page) : SourceError::NoAnswer);
  }
  void readChanges(Endpoint, const WatchRequest&, ItemSource::WatchCallback callback) override {
    ++calls;
    callback(alive && !error ? Result<ItemChanges, SourceError>(changes)
                             : error.value_or(SourceError::NoAnswer));
  }
  void exchangePeers(Endpoint, Endpoint, PeersCallback callback) override {
    callback(std::vector<Endpoint>());
  }

  bool alive = true;
  /** Why changes are not told; unset where they are. */
  std::optional<SourceError> error;
  int calls = 0;
  ItemPage page;
  ItemChanges changes;
};

}  // namespace lugfork
