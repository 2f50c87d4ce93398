#pragma once

#include "common/ids.h"
#include "discovery/item_source.h"

namespace lugfork {

/** Calls to other balancers; the revisions of their views are those of the platform's store. */
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  using PeersCallback = std::function<void(Result<std::vector<Endpoint>, SourceError>)>;

  virtual void readPage(Endpoint peer, const PageRequest& request,
                        ItemSource::PageCallback callback) = 0;

  /** Answers at once, also where there is no change. */
  virtual void readChanges(Endpoint peer, const WatchRequest& request,
                           ItemSource::WatchCallback callback) = 0;

  /** Shows this node to a peer and asks which peers it knows. */
  virtual void exchangePeers(Endpoint peer, Endpoint own_address, PeersCallback callback) = 0;
};

}  // namespace lugfork
