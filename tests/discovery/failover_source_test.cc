#include "discovery/failover_source.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "discovery/fake_peers.h"

namespace lugfork {
namespace {

const std::string kPrefix;
const Endpoint kOwn{1, 1};
const Endpoint kPeer{2, 1};

struct FailoverHarness : FailoverHost {
  FailoverHarness() {
    source.setHost(this);
    directory.onAlive(kPeer);
  }

  void onPeerFollowed(Endpoint, SourceError cause) override { followed.push_back(cause); }
  void onStoreFollowed() override { ++store_followed; }

  void watch() {
    answer.reset();
    source.watch({kPrefix, 5, seconds(3)},
                 [this](Result<ItemChanges, SourceError> result) { answer = std::move(result); });
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  ManualSource store;
  FakePeers peers;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, kOwn, {}, time, *random};
  FailoverSettings settings;
  FailoverSource source{settings, store, peers, directory, scheduler, time};
  std::optional<Result<ItemChanges, SourceError>> answer;
  std::vector<SourceError> followed;
  int store_followed = 0;
};

TEST_CASE("peers are not asked while the store answers", "[failover_source]") {
  FailoverHarness harness;
  harness.watch();
  CHECK(harness.store.watch_requests.back().wait == seconds(3));
  harness.store.answerWatch(kPrefix, ItemChanges{{}, 9});
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().at == 9);
  CHECK(harness.peers.calls == 0);
}

TEST_CASE("a peer stands in for a store that does not answer this node", "[failover_source]") {
  const SourceError error = GENERATE(SourceError::NoAnswer, SourceError::Throttled,
                                     SourceError::Unavailable, SourceError::Malformed);
  FailoverHarness harness;
  harness.peers.changes = {{written("a", 7)}, 7};
  harness.watch();
  harness.store.answerWatch(kPrefix, error);
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().at == 7);
  CHECK(harness.followed == std::vector<SourceError>{error});

  SECTION("peers go on for a while, then the store is tried with a short watch") {
    const std::size_t store_calls = harness.store.watch_requests.size();
    harness.watch();
    harness.scheduler.advance(harness.settings.peer_interval);
    CHECK(harness.answer.has_value());
    CHECK(harness.store.watch_requests.size() == store_calls);

    harness.scheduler.advance(harness.settings.store_interval);
    harness.watch();
    REQUIRE(harness.store.hasWatch(kPrefix));
    CHECK(harness.store.watch_requests.back().wait == harness.settings.store_probe_wait);
    harness.store.answerWatch(kPrefix, ItemChanges{{}, 8});
    CHECK(harness.store_followed == 1);
    harness.watch();
    CHECK(harness.store.watch_requests.back().wait == seconds(3));
  }
}

TEST_CASE("lost history is the store's answer, not a failure", "[failover_source]") {
  FailoverHarness harness;
  harness.watch();
  harness.store.answerWatch(kPrefix, SourceError::HistoryGone);
  CHECK(harness.answer->error() == SourceError::HistoryGone);
  CHECK(harness.peers.calls == 0);
}

TEST_CASE("without a peer that answers the store's error stands", "[failover_source]") {
  FailoverHarness harness;
  SECTION("the peer is dead") {
    harness.peers.alive = false;
  }
  SECTION("no peer is known") {
    harness.directory.onFailed(kPeer);
  }
  harness.watch();
  harness.store.answerWatch(kPrefix, SourceError::Unavailable);
  harness.scheduler.advance(milliseconds(1));
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->error() == SourceError::Unavailable);
  CHECK_FALSE(harness.directory.pick().has_value());
}

TEST_CASE("a full read comes from a peer as well", "[failover_source]") {
  FailoverHarness harness;
  harness.peers.page = {{item("a", 3)}, false, 6};
  std::optional<Result<ItemPage, SourceError>> page;
  harness.source.readPage({kPrefix, "", ReadConsistency::Latest},
                          [&](Result<ItemPage, SourceError> result) { page = std::move(result); });
  harness.store.answerPage(kPrefix, SourceError::NoAnswer);
  REQUIRE(page.has_value());
  CHECK(page->value().items.size() == 1);
}

}  // namespace
}  // namespace lugfork
