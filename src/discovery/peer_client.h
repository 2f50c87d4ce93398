#pragma once

#include "common/ids.h"
#include "discovery/item_source.h"

namespace lugfork {

/** Rate of a balancer's own link, as the whole part of its binary logarithm [log2 of Mbit/s]. */
using LinkClass = std::uint8_t;

/** @return the class of a link; 0 also stands for links that are not known. */
LinkClass linkClassOf(double megabits_per_second);

/** Another balancer, as balancers tell each other of it. */
struct PeerInfo {
  PeerInfo() = default;
  /** Where nothing is known of the link, it counts as slow. */
  PeerInfo(Endpoint control_address, LinkClass link_class = 0)
      : address(control_address), link(link_class) {}

  /** Its control address. */
  Endpoint address;
  LinkClass link = 0;
  auto fields() { return std::tie(address, link); }
  bool operator==(const PeerInfo&) const = default;
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

/** What another balancer's view holds beyond a revision; its revisions are the store's own. */
struct PeerView {
  ViewStatus status;
  /** All items of the view where it is whole, else what has changed. */
  std::vector<ItemChange> changes;
  /** Revision to which the changes lead. */
  Revision at = 0;
  /** Nothing is known of the time before: these are all items that exist. */
  bool is_whole = false;
  /** Balancers that the other one knows; only told with a whole view. */
  std::vector<PeerInfo> peers;
};

/** Why another balancer did not tell its view. */
struct PeerRefusal {
  /** NoAnswer: silent; Unavailable: has no view; Throttled: its link is busy. */
  SourceError cause = SourceError::NoAnswer;
  /** Balancers that may be asked instead. */
  std::vector<Endpoint> others;
};

/** Calls to other balancers. Each callback is called once, from the event loop, never at once. */
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  using ViewCallback = std::function<void(Result<PeerView, PeerRefusal>)>;
  using PeersCallback = std::function<void(Result<std::vector<PeerInfo>, SourceError>)>;

  /**
   * Reads what the peer's view holds beyond a revision.
   * @param after 0 for the whole view.
   * @param timeout time without any sign of the peer after which it counts as silent.
   */
  virtual void readView(Endpoint peer, Revision after, Duration timeout, ViewCallback callback) = 0;

  /** Shows this balancer to a peer and asks which others it knows. */
  virtual void exchangePeers(Endpoint peer, PeersCallback callback) = 0;
};

}  // namespace lugfork
