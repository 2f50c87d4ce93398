#pragma once

#include <vector>

#include "discovery/peer_directory.h"

namespace lugfork {

/** Tunables of an UpstreamSelector. */
struct UpstreamSelectorSettings {
  /**
   * Balancers that watch the store, for each unit of the square root of the fleet's size: 1 of 9,
   * 3 of 88, 5 of 295, 13 of 2,700. Few calls to the store, and few followers for each watcher,
   * pull in opposite directions (measured: journal of quiet-1 on the sites of 295).
   */
  double watchers_per_root = 0.25;
};

/**
 * Decides whom this balancer follows: the store, or other balancers that watch the store. Those
 * with the fastest links and the lowest ranks watch, as many as the size of the fleet asks for. A
 * balancer only follows better upstreams than itself, so that no two follow each other.
 */
class UpstreamSelector {
 public:
  UpstreamSelector(UpstreamSelectorSettings settings, Endpoint own_address,
                   PeerDirectory& directory);

  /**
   * @return the balancers to follow, this one's own choice first; nothing where this one is to
   * watch the store itself.
   */
  std::vector<Endpoint> upstreams();

  /** @return balancers that are likely to know the newest while the store refuses this one. */
  std::vector<Endpoint> fallbackPeers();

 private:
  std::size_t watcherCount();
  /** Begins the list at a place that depends on this balancer's rank. */
  std::vector<Endpoint> rotated(std::vector<Endpoint> balancers) const;

  const UpstreamSelectorSettings settings_;
  const Endpoint own_address_;
  const PeerRank own_rank_;
  PeerDirectory& directory_;
};

}  // namespace lugfork
