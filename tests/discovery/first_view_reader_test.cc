#include "discovery/first_view_reader.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "discovery/fake_peers.h"

namespace lugfork {
namespace {

const Endpoint kOwn{9, 1};
const Endpoint kSeed{1, 1};
const Endpoint kOtherSeed{2, 1};
const Endpoint kChild{3, 1};

struct ReaderHarness {
  void read(Duration time_given) {
    const MonotonicTime started_at = time.monotonicTime();
    reader.read({}, [this, started_at](std::optional<PeerView> found) {
      is_done = true;
      view = std::move(found);
      duration = time.monotonicTime() - started_at;
    });
    scheduler.advance(time_given);
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  FakePeers peers{scheduler};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, kOwn, {kSeed, kOtherSeed}, time, *random};
  FirstViewReaderSettings settings;
  FirstViewReader reader{settings, kOwn, directory, peers, scheduler, time};
  bool is_done = false;
  std::optional<PeerView> view;
  Duration duration{};
};

TEST_CASE("if one seed is silent, the view is read from the other one", "[first_view_reader]") {
  ReaderHarness harness;
  harness.peers.reported_peers = {{kChild}};
  harness.peers.answersWith(kOtherSeed, {written("a", 3)}, 9, 10, true);
  harness.read(seconds(1));
  REQUIRE(harness.view.has_value());
  CHECK(harness.view->at == 9);
  CHECK(harness.duration <= harness.settings.answer_timeout + milliseconds(10));
  // The balancers that it reports are added to the directory.
  const auto known = harness.directory.recentPeers();
  CHECK(std::count(known.begin(), known.end(), kChild) == 1);
}

TEST_CASE("a referral of a seed with a busy link is followed", "[first_view_reader]") {
  ReaderHarness harness;
  harness.peers.refuses(kSeed, SourceError::Throttled, {kChild});
  harness.peers.refuses(kOtherSeed, SourceError::Throttled, {kChild});
  harness.peers.answersWith(kChild, {written("a", 3)}, 9, 10, true);
  harness.read(milliseconds(20));
  REQUIRE(harness.view.has_value());
  CHECK(harness.peers.requested.back() == kChild);
}

TEST_CASE("the store is read after a limited time, later if balancers answer without a view",
          "[first_view_reader]") {
  ReaderHarness harness;
  Duration earliest{};
  SECTION("all seeds are silent") {
    earliest = harness.settings.silence_timeout;
  }
  SECTION("no seed has a view yet") {
    harness.peers.refuses(kSeed, SourceError::Unavailable);
    harness.peers.refuses(kOtherSeed, SourceError::Unavailable);
    earliest = harness.settings.refusal_timeout;
  }
  SECTION("all views are too old") {
    harness.peers.answersWith(kSeed, {}, 9, 60000, true);
    earliest = harness.settings.refusal_timeout;
  }
  harness.read(seconds(4));
  CHECK(harness.is_done);
  CHECK_FALSE(harness.view.has_value());
  CHECK(harness.duration >= earliest);
  CHECK(harness.duration <= earliest + harness.settings.store_spread + seconds(1));
}

TEST_CASE("a seed that starts later is used", "[first_view_reader]") {
  ReaderHarness harness;
  harness.read(milliseconds(300));
  CHECK_FALSE(harness.is_done);
  harness.peers.answersWith(kSeed, {}, 9, 10, true);
  harness.scheduler.advance(harness.settings.answer_timeout * 2 + harness.settings.retry_delay +
                            milliseconds(10));
  CHECK(harness.view.has_value());
}

}  // namespace
}  // namespace lugfork
