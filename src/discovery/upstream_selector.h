#pragma once

#include <optional>

#include "discovery/peer_directory.h"

namespace lugfork {

/** Tunables of an UpstreamSelector. */
struct UpstreamSettings {
  /** Balancers for which one of them watches the store. */
  std::size_t balancers_per_watcher = 32;
};

/**
 * Decides whom this balancer follows: the store, or another balancer that watches the store. Those
 * with the lowest ranks watch, as many as the size of the fleet asks for. A balancer only follows
 * lower ranks, so that no two follow each other, whatever each knows of the fleet.
 */
class UpstreamSelector {
 public:
  UpstreamSelector(UpstreamSettings settings, Endpoint own_address, PeerDirectory& directory);

  /** @return the balancer to follow; nothing where this one is to watch the store itself. */
  std::optional<Endpoint> choose();

  /** The balancer did not answer, or its view is old: others are chosen for a while. */
  void onFailed(Endpoint upstream) { directory_.onFailed(upstream); }

  /** The balancer answered well. */
  void onAnswer(Endpoint upstream) { directory_.onAlive(upstream); }

 private:
  const UpstreamSettings settings_;
  const Endpoint own_address_;
  const PeerRank own_rank_;
  PeerDirectory& directory_;
};

}  // namespace lugfork
