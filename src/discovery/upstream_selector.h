#pragma once

#include <vector>

#include "discovery/peer_directory.h"

namespace lugfork {

/** Settings of UpstreamSelector. */
struct UpstreamSelectorSettings {
  /**
   * Number of watchers divided by the square root of the fleet size. 0.25 gives 1 watcher of 9
   * balancers, 3 of 88, 5 of 295 and 13 of 2,700. Fewer watchers make fewer calls to the store but
   * serve more followers each.
   */
  double watchers_per_root = 0.25;
};

/**
 * Selects the upstreams of this balancer: the store, or peers that watch the store. The watchers
 * are the balancers with the fastest links and the lowest ranks; their number depends on the fleet
 * size. A balancer follows only better upstreams than itself, so that no two follow each other.
 */
class UpstreamSelector {
 public:
  UpstreamSelector(UpstreamSelectorSettings settings, Endpoint own_address,
                   PeerDirectory& directory);

  /**
   * @return the balancers to follow, this balancer's preferred one first; empty if it watches the
   * store itself.
   */
  std::vector<Endpoint> upstreams();

  /** @return peers that are likely to have the newest view while the store does not answer. */
  std::vector<Endpoint> fallbackPeers();

 private:
  std::size_t watcherCount();
  /** Rotates the list by this balancer's rank, which spreads the followers over the watchers. */
  std::vector<Endpoint> rotated(std::vector<Endpoint> balancers) const;

  const UpstreamSelectorSettings settings_;
  const Endpoint own_address_;
  const PeerRank own_rank_;
  PeerDirectory& directory_;
};

}  // namespace lugfork
