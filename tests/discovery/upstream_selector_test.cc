#include "discovery/upstream_selector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kFleetSize = 40;
/** Five watchers of 40 balancers. */
constexpr double kWatchersPerRoot = 0.79;
constexpr std::size_t kWatchers = 5;

std::vector<Endpoint> fleet(std::uint32_t size = kFleetSize) {
  std::vector<Endpoint> balancers;
  for (std::uint32_t address = 1; address <= size; ++address) {
    balancers.push_back({address, 1});
  }
  return balancers;
}

std::vector<KnownPeer> knownPeers(const std::vector<Endpoint>& addresses) {
  return {addresses.begin(), addresses.end()};
}

/** One balancer's knowledge of others. */
struct Balancer {
  Balancer(Endpoint own_address, const std::vector<Endpoint>& known, ManualTimeSource& time,
           double watchers_per_root = kWatchersPerRoot)
      : directory({}, own_address, {}, time, *random),
        own(own_address),
        selector({watchers_per_root}, own, directory) {
    directory.onTold(knownPeers(known));
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

TEST_CASE("whatever each knows, nobody follows a higher rank", "[upstream]") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(3);
  for (const Endpoint& own : fleet()) {
    std::vector<Endpoint> known;
    for (const Endpoint& peer : fleet()) {
      if (random->below(3) == 0) {
        known.push_back(peer);
      }
    }
    Balancer balancer(own, known, time);
    for (const Endpoint& upstream : balancer.selector.upstreams()) {
      CHECK(peerRank(upstream) < peerRank(own));
    }
  }
}

TEST_CASE("an upstream that failed is not chosen for a while, also where others tell of it",
          "[upstream]") {
  ManualTimeSource time;
  std::vector<Endpoint> all = fleet(4);
  std::sort(all.begin(), all.end(),
            [](Endpoint left, Endpoint right) { return peerRank(left) < peerRank(right); });
  // One watcher of four.
  Balancer balancer(all[2], all, time, 0.5);
  REQUIRE(balancer.selector.upstreams() == std::vector<Endpoint>{all[0]});
  balancer.directory.onFailed(all[0]);
  balancer.directory.onTold(knownPeers(all));
  CHECK(balancer.selector.upstreams() == std::vector<Endpoint>{all[1]});

  SECTION("with no lower rank left the store is watched") {
    balancer.directory.onFailed(all[1]);
    CHECK(balancer.selector.upstreams().empty());
  }
  SECTION("it is back when it shows itself") {
    balancer.directory.onAlive(all[0]);
    CHECK(balancer.selector.upstreams() == std::vector<Endpoint>{all[0]});
  }
  SECTION("it is back after the quarantine") {
    time.elapsed += seconds(31);
    balancer.directory.onTold(knownPeers(all));
    CHECK(balancer.selector.upstreams() == std::vector<Endpoint>{all[0]});
  }
}

TEST_CASE("an upstream with an old view gives way to the next in rank, also while it asks others",
          "[upstream]") {
  ManualTimeSource time;
  std::vector<Endpoint> all = fleet(4);
  std::sort(all.begin(), all.end(),
            [](Endpoint left, Endpoint right) { return peerRank(left) < peerRank(right); });
  Balancer next(all[1], all, time, 0.5);
  REQUIRE(next.selector.upstreams() == std::vector<Endpoint>{all[0]});
  next.directory.onUnavailable(all[0]);
  next.directory.onShown(all[0]);
  CHECK(next.selector.upstreams().empty());
  time.elapsed += seconds(3);
  CHECK(next.selector.upstreams() == std::vector<Endpoint>{all[0]});
}

TEST_CASE("a full directory keeps the lowest ranks and tells the fleet's size by them",
          "[upstream]") {
  ManualTimeSource time;
  constexpr std::uint32_t kLargeFleet = 2700;
  Balancer balancer({5000, 1}, fleet(kLargeFleet), time);
  CHECK(balancer.directory.recent().size() == PeerDirectorySettings().size);
  CHECK(balancer.directory.fleetSize() == Approx(kLargeFleet).epsilon(0.2));
  std::vector<Endpoint> all = fleet(kLargeFleet);
  std::sort(all.begin(), all.end(),
            [](Endpoint left, Endpoint right) { return peerRank(left) < peerRank(right); });
  CHECK(balancer.directory.ranked().front() == all.front());
}

/** Ten of 40 balancers have a link of 200 Mbit/s, the others one of 10. */
KnownPeer withLink(Endpoint address) {
  return {address, linkClassOf(address.address % 4 == 0 ? 200 : 10)};
}

TEST_CASE("balancers with the fastest links watch the store, in every balancer's knowledge",
          "[upstream]") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(1);
  const auto size = GENERATE(as<std::uint32_t>(), 40, 2700);
  std::vector<KnownPeer> all;
  for (const Endpoint& address : fleet(size)) {
    all.push_back(withLink(address));
  }
  for (std::uint32_t number = 1; number <= kFleetSize; ++number) {
    const KnownPeer self = withLink({number, 1});
    PeerDirectory directory({}, self, {}, time, *random);
    directory.onTold(all);
    CHECK(directory.fleetSize() == Approx(size).epsilon(0.25));
    UpstreamSelector selector({}, self.address, directory);
    for (const Endpoint& upstream : selector.upstreams()) {
      CHECK(withLink(upstream).link == linkClassOf(200));
      CHECK(directory.isBetterUpstream(upstream, self.address));
    }
    CHECK((self.link == linkClassOf(200) || !selector.upstreams().empty()));
  }
}

TEST_CASE("a link that was not known before is learnt from others", "[upstream]") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(1);
  PeerDirectory directory({}, Endpoint{1, 1}, {}, time, *random);
  directory.onAlive({2, 1});
  directory.onAlive({3, 1});
  const Endpoint lower = directory.ranked().front();
  const Endpoint higher = directory.ranked().back();
  directory.onTold({{higher, linkClassOf(200)}});
  CHECK(directory.ranked().front() == higher);
  directory.onAlive(higher);
  CHECK(directory.ranked() == std::vector<Endpoint>{higher, lower});
}

TEST_CASE("the fleet's first choices are spread over its watchers", "[upstream]") {
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

TEST_CASE("watchers stand in for a store that refuses this balancer", "[upstream]") {
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

TEST_CASE("a balancer that others can't ask follows nobody", "[upstream]") {
  ManualTimeSource time;
  Balancer balancer(Endpoint(), fleet(), time);
  CHECK(balancer.selector.upstreams().empty());
}

}  // namespace
}  // namespace lugfork
