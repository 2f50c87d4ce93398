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

/** How new another balancer's view is. */
struct ViewStatus {
  /** All changes up to this one are in the view. */
  Revision position = 0;
  /** Time since the store told it [ms]. */
  std::uint32_t age_ms = 0;
  /** False until the view is complete, and where the balancer is about to stop. */
  bool serves_view = false;
  auto fields() { return std::tie(position, age_ms, serves_view); }
};

/** What another balancer's view holds beyond a revision. */
struct ViewNews {
  ViewStatus status;
  /** The first changes after that revision, as many as fit into a datagram. */
  std::vector<ItemChange> changes;
  /** Revision to which these changes lead; more follow where the view's position is higher. */
  Revision at = 0;
  /** Not even the first change fits, or the changes are not known. */
  bool withheld = false;
  /** Size of that change [bytes]; the largest number where it is not known. */
  std::uint32_t change_bytes = 0;
  auto fields() { return std::tie(status, changes, at, withheld, change_bytes); }
};

/** Asks balancers what is new in their views, for less than a call of PeerClient costs. */
class ViewNewsClient {
 public:
  virtual ~ViewNewsClient() = default;

  using NewsCallback = std::function<void(Result<ViewNews, SourceError>)>;

  /** Calls back once, from the event loop and never at once. */
  virtual void askNews(Endpoint peer, Revision after, NewsCallback callback) = 0;
};

}  // namespace lugfork
