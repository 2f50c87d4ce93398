#include "discovery/upstream_selector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kFleetSize = 40;
/** Gives five watchers for 40 balancers. */
constexpr double kWatchersPerRoot = 0.79;
constexpr std::size_t kWatchers = 5;

std::vector<Endpoint> fleet(std::uint32_t size = kFleetSize) {
  std::vector<Endpoint> balancers;
  for (std::uint32_t address = 1; address <= size; ++address) {
    balancers.push_back({address, 1});
  }
  return balancers;
}

std::vector<PeerInfo> knownPeers(const std::vector<Endpoint>& addresses) {
  return {addresses.begin(), addresses.end()};
}

/** One balancer with its directory and selector. */
struct Balancer {
  Balancer(Endpoint own_address, const std::vector<Endpoint>& peers, ManualTimeSource& time,
           double watchers_per_root = kWatchersPerRoot)
      : directory({}, own_address, {}, time, *random),
        own(own_address),
        selector({watchers_per_root}, own, directory) {
    directory.onPeersReported(knownPeers(peers));
  }

  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory;
  Endpoint own;
  UpstreamSelector selector;
};

TEST_CASE("a few balancers watch the store and all others follow one of them", "[upstream]") {
  ManualTimeSource time;
  std::vector<Endpoint> watchers;
  std::vector<Endpoint> upstreams;
  for (const Endpoint& own : fleet()) {
    Balancer balancer(own, fleet(), time);
    const auto choices = balancer.selector.upstreams();
    if (choices.empty()) {
      watchers.push_back(own);
    } else {
      upstreams.insert(upstreams.end(), choices.begin(), choices.end());
    }
  }
  CHECK(watchers.size() == kWatchers);
  for (const Endpoint& upstream : upstreams) {
    CHECK(std::count(watchers.begin(), watchers.end(), upstream) == 1);
  }
}

TEST_CASE("no balancer follows a higher rank, whichever peers its directory holds", "[upstream]") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(3);
  for (const Endpoint& own : fleet()) {
    std::vector<Endpoint> peers;
    for (const Endpoint& peer : fleet()) {
      if (random->below(3) == 0) {
        peers.push_back(peer);
      }
    }
    Balancer balancer(own, peers, time);
    for (const Endpoint& upstream : balancer.selector.upstreams()) {
      CHECK(peerRank(upstream) < peerRank(own));
    }
  }
}

TEST_CASE("a failed upstream is not selected for a while, even if other peers report it",
          "[upstream]") {
  ManualTimeSource time;
  std::vector<Endpoint> all = fleet(4);
  std::sort(all.begin(), all.end(),
            [](Endpoint left, Endpoint right) { return peerRank(left) < peerRank(right); });
  // One watcher for four balancers.
  Balancer balancer(all[2], all, time, 0.5);
  REQUIRE(balancer.selector.upstreams() == std::vector<Endpoint>{all[0]});
  balancer.directory.onFailed(all[0]);
  balancer.directory.onPeersReported(knownPeers(all));
  CHECK(balancer.selector.upstreams() == std::vector<Endpoint>{all[1]});

  SECTION("the store is watched if no lower rank is left") {
    balancer.directory.onFailed(all[1]);
    CHECK(balancer.selector.upstreams().empty());
  }
  SECTION("it is selected again once it answers") {
    balancer.directory.onAnswer(all[0]);
    CHECK(balancer.selector.upstreams() == std::vector<Endpoint>{all[0]});
  }
  SECTION("it is selected again after the quarantine") {
    time.elapsed += seconds(31);
    balancer.directory.onPeersReported(knownPeers(all));
    CHECK(balancer.selector.upstreams() == std::vector<Endpoint>{all[0]});
  }
}

TEST_CASE(
    "an upstream with an old view is replaced by the next in rank, even while it sends requests",
    "[upstream]") {
  ManualTimeSource time;
  std::vector<Endpoint> all = fleet(4);
  std::sort(all.begin(), all.end(),
            [](Endpoint left, Endpoint right) { return peerRank(left) < peerRank(right); });
  Balancer next(all[1], all, time, 0.5);
  REQUIRE(next.selector.upstreams() == std::vector<Endpoint>{all[0]});
  next.directory.onUnavailable(all[0]);
  next.directory.onContact(all[0]);
  CHECK(next.selector.upstreams().empty());
  time.elapsed += seconds(3);
  CHECK(next.selector.upstreams() == std::vector<Endpoint>{all[0]});
}

TEST_CASE("a full directory keeps the lowest ranks and estimates the fleet size from them",
          "[upstream]") {
  ManualTimeSource time;
  constexpr std::uint32_t kLargeFleet = 2700;
  Balancer balancer({5000, 1}, fleet(kLargeFleet), time);
  CHECK(balancer.directory.recentPeers().size() == PeerDirectorySettings().max_peers);
  CHECK(balancer.directory.fleetSize() == Approx(kLargeFleet).epsilon(0.2));
  std::vector<Endpoint> all = fleet(kLargeFleet);
  std::sort(all.begin(), all.end(),
            [](Endpoint left, Endpoint right) { return peerRank(left) < peerRank(right); });
  CHECK(balancer.directory.ranked().front() == all.front());
}

/** Ten of 40 balancers have a link of 200 Mbit/s, the others of 10 Mbit/s. */
PeerInfo withLink(Endpoint address) {
  return {address, linkClassOf(address.address % 4 == 0 ? 200 : 10)};
}

TEST_CASE("every balancer selects watchers with the fastest links", "[upstream]") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(1);
  const auto size = GENERATE(as<std::uint32_t>(), 40, 2700);
  std::vector<PeerInfo> all;
  for (const Endpoint& address : fleet(size)) {
    all.push_back(withLink(address));
  }
  for (std::uint32_t number = 1; number <= kFleetSize; ++number) {
    const PeerInfo self = withLink({number, 1});
    PeerDirectory directory({}, self, {}, time, *random);
    directory.onPeersReported(all);
    CHECK(directory.fleetSize() == Approx(size).epsilon(0.25));
    UpstreamSelector selector({}, self.address, directory);
    for (const Endpoint& upstream : selector.upstreams()) {
      CHECK(withLink(upstream).link == linkClassOf(200));
      CHECK(directory.isBetterUpstream(upstream, self.address));
    }
    CHECK((self.link == linkClassOf(200) || !selector.upstreams().empty()));
  }
}

TEST_CASE("an unknown link class is updated from peers' reports", "[upstream]") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(1);
  PeerDirectory directory({}, Endpoint{1, 1}, {}, time, *random);
  directory.onAnswer({2, 1});
  directory.onAnswer({3, 1});
  const Endpoint lower = directory.ranked().front();
  const Endpoint higher = directory.ranked().back();
  directory.onPeersReported({{higher, linkClassOf(200)}});
  CHECK(directory.ranked().front() == higher);
  directory.onAnswer(higher);
  CHECK(directory.ranked() == std::vector<Endpoint>{higher, lower});
}

TEST_CASE("the preferred upstreams of a fleet are spread over its watchers", "[upstream]") {
  ManualTimeSource time;
  std::map<Endpoint, int> followers;
  for (const Endpoint& own : fleet(300)) {
    Balancer balancer(own, fleet(300), time);
    const auto choices = balancer.selector.upstreams();
    if (!choices.empty()) {
      ++followers[choices.front()];
    }
  }
  CHECK(followers.size() >= 10);
  for (const auto& [upstream, count] : followers) {
    CHECK(count < 3 * 300 / static_cast<int>(followers.size()));
  }
}

TEST_CASE("the watchers are the fallback peers of a balancer that the store refuses",
          "[upstream]") {
  ManualTimeSource time;
  std::vector<Endpoint> all = fleet();
  std::sort(all.begin(), all.end(),
            [](Endpoint left, Endpoint right) { return peerRank(left) < peerRank(right); });
  Balancer balancer(all[0], fleet(), time);
  REQUIRE(balancer.selector.upstreams().empty());
  const auto fallback_peers = balancer.selector.fallbackPeers();
  CHECK(fallback_peers.size() == kWatchers + 1);
  for (const Endpoint& fallback_peer : fallback_peers) {
    CHECK(peerRank(fallback_peer) <= peerRank(all[fallback_peers.size()]));
  }
}

TEST_CASE("a balancer without a control address has no upstreams", "[upstream]") {
  ManualTimeSource time;
  Balancer balancer(Endpoint(), fleet(), time);
  CHECK(balancer.selector.upstreams().empty());
}

}  // namespace
}  // namespace lugfork
