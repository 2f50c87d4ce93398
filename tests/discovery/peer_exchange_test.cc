#include "discovery/peer_exchange.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "discovery/fake_peers.h"

namespace lugfork {
namespace {

const Endpoint kOwn{1, 1};
const Endpoint kSeed{2, 1};
const Endpoint kOther{3, 1};

struct ExchangeHarness {
  ManualTimeSource time;
  ManualScheduler scheduler{time};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, kOwn, {kSeed}, time, *random};
  PeerExchangeSettings settings;
  FakePeers peers{scheduler};
  PeerExchange exchange{settings, directory, peers, scheduler, *random};
};

TEST_CASE("the first exchange is with a seed, whose peers are added", "[peer_exchange]") {
  ExchangeHarness harness;
  harness.peers.reported_peers = {{kOther}};
  harness.peers.answersWith(kSeed, {}, 1);
  harness.exchange.start();
  harness.scheduler.advance(harness.settings.first_delay);
  CHECK(harness.peers.exchanged == std::vector<Endpoint>{kSeed});
  CHECK(harness.directory.recentPeers() == std::vector<Endpoint>{kSeed, kOther});
}

TEST_CASE("a seed that does not answer gets another request", "[peer_exchange]") {
  ExchangeHarness harness;
  harness.exchange.start();
  harness.scheduler.advance(harness.settings.first_delay + harness.settings.second_delay);
  CHECK(harness.peers.exchanged == std::vector<Endpoint>{kSeed, kSeed});
}

}  // namespace
}  // namespace lugfork
