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

/** Both directories, on the same clock and with the same news. */
struct DirectoryPair {
  explicit DirectoryPair(PeerDirectorySettings settings)
      : directory(settings, self, seeds, time, *random), reference(settings, self, seeds, time) {}

  std::uint32_t any() { return static_cast<std::uint32_t>(random->below(kBalancers)); }

  template <typename Call>
  void tellBoth(Call call) {
    call(directory);
    call(reference);
  }

  void anyNews() {
    time.elapsed += Duration(1 + static_cast<std::int64_t>(random->below(200'000)));
    const PeerInfo peer{addressOfBalancer(any()), linkClassOf(1 << random->below(4))};
    std::vector<PeerInfo> told;
    switch (random->below(8)) {
      case 0:
        tellBoth([&](auto& both) { both.onAnswer(peer.address); });
        break;
      case 1:
        tellBoth([&](auto& both) { both.onFailed(peer.address); });
        break;
      case 2:
        tellBoth([&](auto& both) { both.onUnavailable(peer.address); });
        break;
      case 3:
        tellBoth([&](auto& both) { both.onViewReported(peer.address); });
        break;
      case 4:
        for (int count = 0; count < 20; ++count) {
          told.push_back(balancer(any()));
        }
        tellBoth([&](auto& both) { both.onPeersReported(told); });
        break;
      case 5:
        time.elapsed += Duration(static_cast<std::int64_t>(random->below(20'000'000)));
        break;
      default:
        tellBoth([&](auto& both) { both.onContact(peer); });
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
    const Endpoint left = addressOfBalancer(any());
    const Endpoint right = addressOfBalancer(any());
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

TEST_CASE("the orders that are kept give the same answers as sorting for each question",
          "[peer_directory]") {
  PeerDirectorySettings settings;
  settings.max_peers = GENERATE(3, 20, 100, 1000);
  settings.max_fast_peers = GENERATE(0, 1, 16);
  DirectoryPair pair(settings);
  for (int step = 0; step < 400; ++step) {
    pair.anyNews();
    pair.checkAnswers();
  }
}

struct LargeFleet {
  LargeFleet() {
    for (std::uint32_t number = 1; number < kBalancers; ++number) {
      directory.onContact(balancer(number));
    }
  }
  /** @return the peers that were looked at one by one in a call. */
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

TEST_CASE("what a question costs does not grow with the balancers that are known",
          "[peer_directory]") {
  LargeFleet fleet;
  const PeerDirectorySettings settings;
  UpstreamSelector selector({}, addressOfBalancer(kBalancers + 1), fleet.directory);
  const std::uint64_t walk = 4 * settings.max_fast_peers;
  CHECK(fleet.visitedIn([&] { CHECK(selector.upstreams().size() < 8); }) < walk);
  CHECK(fleet.visitedIn([&] { fleet.directory.fleetSize(); }) < walk);
  CHECK(fleet.visitedIn([&] { fleet.directory.onContact(balancer(17)); }) < walk);
  CHECK(fleet.visitedIn([&] { fleet.directory.ranked(1); }) < walk);
}

TEST_CASE("a list of a hundred peers costs a walk for each at most", "[peer_directory]") {
  LargeFleet fleet;
  std::vector<PeerInfo> told;
  for (std::uint32_t number = 1; number <= 100; ++number) {
    told.push_back(balancer(2 * number));
  }
  const std::uint64_t visited = fleet.visitedIn([&] { fleet.directory.onPeersReported(told); });
  CHECK(visited < told.size() * 4 * PeerDirectorySettings().max_fast_peers);
}

}  // namespace
}  // namespace lugfork
