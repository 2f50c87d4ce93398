#include "discovery/ranked_peers.h"

#include <catch2/catch.hpp>

#include "discovery/reference_peer_directory.h"
#include "discovery/upstream_selector.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kBalancers = 300;
constexpr std::size_t kAll = 100000;

Endpoint addressOfBalancer(std::uint32_t number) {
  return {0x0c000000 + number, 8000};
}

PeerInfo balancer(std::uint32_t number) {
  return {addressOfBalancer(number), linkClassOf(number % 50 == 0 ? 200 : 10)};
}

/** Both directories, with the same clock and the same updates. */
struct DirectoryPair {
  explicit DirectoryPair(PeerDirectorySettings settings)
      : directory(settings, self, seeds, time, *random), reference(settings, self, seeds, time) {}

  std::uint32_t randomNumber() { return static_cast<std::uint32_t>(random->below(kBalancers)); }

  template <typename Call>
  void applyToBoth(Call call) {
    call(directory);
    call(reference);
  }

  void applyRandomUpdate() {
    time.elapsed += Duration(1 + static_cast<std::int64_t>(random->below(200'000)));
    const PeerInfo peer{addressOfBalancer(randomNumber()), linkClassOf(1 << random->below(4))};
    std::vector<PeerInfo> reported;
    switch (random->below(8)) {
      case 0:
        applyToBoth([&](auto& either) { either.onAnswer(peer.address); });
        break;
      case 1:
        applyToBoth([&](auto& either) { either.onFailed(peer.address); });
        break;
      case 2:
        applyToBoth([&](auto& either) { either.onUnavailable(peer.address); });
        break;
      case 3:
        applyToBoth([&](auto& either) { either.onViewReported(peer.address); });
        break;
      case 4:
        for (int count = 0; count < 20; ++count) {
          reported.push_back(balancer(randomNumber()));
        }
        applyToBoth([&](auto& either) { either.onPeersReported(reported); });
        break;
      case 5:
        time.elapsed += Duration(static_cast<std::int64_t>(random->below(20'000'000)));
        break;
      default:
        applyToBoth([&](auto& either) { either.onContact(peer); });
    }
  }

  void checkAnswers() {
    REQUIRE(directory.ranked() == reference.ranked());
    REQUIRE(directory.recentPeers() == reference.recentPeers());
    REQUIRE(directory.hasPeers() == !reference.recentPeers().empty());
    REQUIRE(directory.peersToReport(kAll) == reference.peersToReport(kAll));
    REQUIRE(directory.peersToReport(7) == reference.peersToReport(7));
    REQUIRE(directory.peersWithView(kAll) == reference.peersWithView(kAll));
    REQUIRE(directory.fleetSize() == reference.fleetSize());
    const std::uint64_t key = random->next();
    REQUIRE(directory.isOwner(key, 2) == reference.isOwner(key, 2));
    std::vector<Endpoint> best = reference.ranked();
    best.resize(std::min<std::size_t>(best.size(), 5));
    REQUIRE(directory.ranked(5) == best);
    const Endpoint left = addressOfBalancer(randomNumber());
    const Endpoint right = addressOfBalancer(randomNumber());
    REQUIRE(directory.isBetterUpstream(left, right) == reference.isBetterUpstream(left, right));
  }

  const PeerInfo self = balancer(kBalancers + 1);
  const std::vector<Endpoint> seeds = {addressOfBalancer(1), addressOfBalancer(2),
                                       addressOfBalancer(50), self.address};
  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(7);
  PeerDirectory directory;
  ReferencePeerDirectory reference;
};

TEST_CASE("the indexes give the same answers as sorting on each query", "[peer_directory]") {
  PeerDirectorySettings settings;
  settings.max_peers = GENERATE(3, 20, 100, 1000);
  settings.max_fast_peers = GENERATE(0, 1, 16);
  DirectoryPair pair(settings);
  for (int step = 0; step < 400; ++step) {
    pair.applyRandomUpdate();
    pair.checkAnswers();
  }
}

struct LargeFleet {
  LargeFleet() {
    for (std::uint32_t number = 1; number < kBalancers; ++number) {
      directory.onContact(balancer(number));
    }
  }
  /** @return the number of peers that a call examines one by one. */
  template <typename Call>
  std::uint64_t visitedIn(Call call) {
    const std::uint64_t before = directory.peersVisited();
    call();
    return directory.peersVisited() - before;
  }

  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, balancer(kBalancers + 1), {addressOfBalancer(1)}, time, *random};
};

TEST_CASE("the cost of a query does not grow with the number of known balancers",
          "[peer_directory]") {
  LargeFleet fleet;
  const PeerDirectorySettings settings;
  UpstreamSelector selector({}, addressOfBalancer(kBalancers + 1), fleet.directory);
  const std::uint64_t max_visited = 4 * settings.max_fast_peers;
  CHECK(fleet.visitedIn([&] { CHECK(selector.upstreams().size() < 8); }) < max_visited);
  CHECK(fleet.visitedIn([&] { fleet.directory.fleetSize(); }) < max_visited);
  CHECK(fleet.visitedIn([&] { fleet.directory.onContact(balancer(17)); }) < max_visited);
  CHECK(fleet.visitedIn([&] { fleet.directory.ranked(1); }) < max_visited);
}

TEST_CASE("a list of 100 peers costs at most one walk of the index per peer", "[peer_directory]") {
  LargeFleet fleet;
  std::vector<PeerInfo> reported;
  for (std::uint32_t number = 1; number <= 100; ++number) {
    reported.push_back(balancer(2 * number));
  }
  const std::uint64_t visited = fleet.visitedIn([&] { fleet.directory.onPeersReported(reported); });
  CHECK(visited < reported.size() * 4 * PeerDirectorySettings().max_fast_peers);
}

}  // namespace
}  // namespace lugfork
