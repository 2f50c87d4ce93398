#include "discovery/upstream_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lugfork {

namespace {

constexpr std::size_t kMaxPeersWithView = 2;

}  // namespace

UpstreamSelector::UpstreamSelector(UpstreamSelectorSettings settings, Endpoint own_address,
                                   PeerDirectory& directory)
    : settings_(settings),
      own_address_(own_address),
      own_rank_(peerRank(own_address)),
      directory_(directory) {}

std::vector<Endpoint> UpstreamSelector::upstreams() {
  if (!own_address_.isSet()) {
    return {};
  }
  const std::size_t watchers = watcherCount();
  std::vector<Endpoint> ranked = directory_.ranked(watchers);
  const bool is_watcher =
      ranked.size() < watchers || directory_.isBetterUpstream(own_address_, ranked[watchers - 1]);
  if (is_watcher) {
    return {};
  }
  return rotated(std::move(ranked));
}

std::vector<Endpoint> UpstreamSelector::fallbackPeers() {
  // One more than the number of watchers, since this balancer may be one of them.
  const std::vector<Endpoint> ranked = directory_.ranked(watcherCount() + 1);
  // Peers known to have a view come first: during fleet start the lowest ranks may have none.
  std::vector<Endpoint> balancers = directory_.peersWithView(kMaxPeersWithView);
  for (const Endpoint& balancer : rotated(ranked)) {
    if (std::find(balancers.begin(), balancers.end(), balancer) == balancers.end()) {
      balancers.push_back(balancer);
    }
  }
  return balancers;
}

std::size_t UpstreamSelector::watcherCount() {
  const double watchers = settings_.watchers_per_root * std::sqrt(directory_.fleetSize());
  return static_cast<std::size_t>(std::ceil(watchers));
}

std::vector<Endpoint> UpstreamSelector::rotated(std::vector<Endpoint> balancers) const {
  if (!balancers.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(own_rank_ % balancers.size());
    std::rotate(balancers.begin(), balancers.begin() + first, balancers.end());
  }
  return balancers;
}

}  // namespace lugfork
