#include "discovery/upstream_selector.h"

#include <cmath>

namespace lugfork {

UpstreamSelector::UpstreamSelector(UpstreamSettings settings, Endpoint own_address,
                                   PeerDirectory& directory)
    : settings_(settings),
      own_address_(own_address),
      own_rank_(peerRank(own_address)),
      directory_(directory) {}

std::optional<Endpoint> UpstreamSelector::choose() {
  if (!own_address_.isSet()) {
    return std::nullopt;
  }
  const double share = static_cast<double>(settings_.balancers_per_watcher);
  const auto watchers = static_cast<std::size_t>(std::ceil(directory_.fleetSize() / share));
  const std::vector<Endpoint> ranked = directory_.ranked();
  const bool is_watcher = ranked.size() < watchers || own_rank_ < peerRank(ranked[watchers - 1]);
  if (is_watcher) {
    return std::nullopt;
  }
  return ranked[own_rank_ % watchers];
}

}  // namespace lugfork
