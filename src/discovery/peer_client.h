#pragma once

#include "common/ids.h"
#include "discovery/item_source.h"

namespace lugfork {

/** Rate of a balancer's link: binary logarithm, rounded down [log2 of Mbit/s]. */
using LinkClass = std::uint8_t;

/** @return the class of a link; 0 also stands for an unknown rate. */
LinkClass linkClassOf(double megabits_per_second);

/** A balancer, as balancers report it to each other. */
struct PeerInfo {
  PeerInfo() = default;
  /** A link of an unknown rate counts as slow. */
  PeerInfo(Endpoint control_address, LinkClass link_class = 0)
      : address(control_address), link(link_class) {}

  /** Control address. */
  Endpoint address;
  LinkClass link = 0;
  auto fields() { return std::tie(address, link); }
  bool operator==(const PeerInfo&) const = default;
};

/** State of another balancer's view. */
struct ViewStatus {
  /** The view contains all changes up to this revision. */
  Revision position = 0;
  /** Time since the view was current at the store [ms]. */
  std::uint32_t age_ms = 0;
  /** False while the view is incomplete, and when the balancer is about to stop. */
  bool serves_view = false;
  auto fields() { return std::tie(position, age_ms, serves_view); }
};

/** Content of another balancer's view after a revision. Revisions are those of the store. */
struct PeerView {
  ViewStatus status;
  /** All items for a full view, otherwise the changes. */
  std::vector<ItemChange> changes;
  /** Revision that the changes lead to. */
  Revision at = 0;
  /** True for a full view: `changes` contains all existing items. */
  bool is_whole = false;
  /** Balancers known to the peer; only sent with a full view. */
  std::vector<PeerInfo> peers;
};

/** Reason why another balancer did not send its view. */
struct PeerRefusal {
  /** NoAnswer: no response; Unavailable: has no view; Throttled: its link is busy. */
  SourceError cause = SourceError::NoAnswer;
  /** Alternative balancers to request the view from. */
  std::vector<Endpoint> others;
};

/** Calls to other balancers. Each callback is called once, from the event loop, after return. */
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  using ViewCallback = std::function<void(Result<PeerView, PeerRefusal>)>;
  using PeersCallback = std::function<void(Result<std::vector<PeerInfo>, SourceError>)>;

  /**
   * Reads the content of the peer's view after a revision.
   * @param after 0 for the full view.
   * @param timeout longest time without any message from the peer.
   */
  virtual void readView(Endpoint peer, Revision after, Duration timeout, ViewCallback callback) = 0;

  /** Announces this balancer to a peer and requests the peer's list of balancers. */
  virtual void exchangePeers(Endpoint peer, PeersCallback callback) = 0;
};

}  // namespace lugfork
