#include "discovery/peer_exchange.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"

namespace lugfork {
namespace {

const Endpoint kOwn{1, 1};
const Endpoint kSeed{2, 1};
const Endpoint kOther{3, 1};

struct ExchangeHarness : PeerClient {
  void readPage(Endpoint, const PageRequest&, ItemSource::PageCallback) override {}
  void readChanges(Endpoint, const WatchRequest&, ItemSource::WatchCallback) override {}
  void exchangePeers(Endpoint peer, Endpoint own_address, PeersCallback callback) override {
    asked.push_back(peer);
    CHECK(own_address == kOwn);
    callback(alive ? Result<std::vector<Endpoint>, SourceError>(std::vector<Endpoint>{kOther})
                   : SourceError::NoAnswer);
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, kOwn, {kSeed}, time, *random};
  PeerExchangeSettings settings;
  PeerExchange exchange{settings, kOwn, directory, *this, scheduler, *random};
  std::vector<Endpoint> asked;
  bool alive = true;
};

TEST_CASE("a seed is asked soon after the start, and tells of others", "[peer_exchange]") {
  ExchangeHarness harness;
  harness.exchange.start();
  harness.scheduler.advance(harness.settings.first_delay);
  CHECK(harness.asked == std::vector<Endpoint>{kSeed});
  CHECK(harness.directory.recent() == std::vector<Endpoint>{kSeed, kOther});
}

TEST_CASE("a seed that does not answer is asked again", "[peer_exchange]") {
  ExchangeHarness harness;
  harness.alive = false;
  harness.exchange.start();
  harness.scheduler.advance(harness.settings.first_delay + harness.settings.interval);
  CHECK(harness.asked == std::vector<Endpoint>{kSeed, kSeed});
}

}  // namespace
}  // namespace lugfork
