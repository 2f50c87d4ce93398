#include "discovery/upstream_selector.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

constexpr std::size_t kShownViews = 2;

}  // namespace

UpstreamSelector::UpstreamSelector(UpstreamSettings settings, Endpoint own_address,
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
  std::vector<Endpoint> ranked = directory_.ranked();
  const bool is_watcher =
      ranked.size() < watchers || directory_.isBetterUpstream(own_address_, ranked[watchers - 1]);
  if (is_watcher) {
    return {};
  }
  ranked.resize(watchers);
  return rotated(ranked);
}

std::vector<Endpoint> UpstreamSelector::standIns() {
  std::vector<Endpoint> ranked = directory_.ranked();
  // One more than there are watchers: this balancer may be one of them.
  ranked.resize(std::min(ranked.size(), watcherCount() + 1));
  // Whoever has shown a view goes first: at a start the lowest ranks may not have one yet.
  std::vector<Endpoint> balancers = directory_.withView(kShownViews);
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

std::vector<Endpoint> UpstreamSelector::rotated(const std::vector<Endpoint>& balancers) const {
  std::vector<Endpoint> list = balancers;
  if (!list.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(own_rank_ % list.size());
    std::rotate(list.begin(), list.begin() + first, list.end());
  }
  return list;
}

}  // namespace lugfork
