#include "discovery/upstream_poller.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "discovery/fake_peers.h"
#include "discovery/freshness_budget.h"

namespace lugfork {
namespace {

Endpoint balancer(std::uint32_t number) {
  return {number, 1};
}

struct PollHarness {
  void poll() {
    result.reset();
    poller.poll({balancer(1), balancer(2), balancer(3), balancer(4)}, 5,
                [this](const PollResult& found) { result = found; });
    scheduler.advance(seconds(2));
    REQUIRE(result.has_value());
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  FakePeers peers{scheduler};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, balancer(9), {}, time, *random};
  UpstreamPollerSettings settings;
  UpstreamPoller poller{settings, FreshnessBudget().max_fresh_age, directory, peers};
  std::optional<PollResult> result;
};

TEST_CASE("the first balancer with a fresh view ends the poll and is asked first in the next one",
          "[upstream_poller]") {
  PollHarness harness;
  harness.peers.answersWith(balancer(1), {}, 5, 1900);
  harness.peers.answersWith(balancer(2), {written("a", 8)}, 8, 300);
  harness.poll();
  CHECK(harness.result->is_fresh);
  CHECK(harness.result->upstream == balancer(2));
  CHECK(harness.result->view->at == 8);
  harness.poll();
  CHECK(harness.peers.requested == std::vector<Endpoint>{balancer(1), balancer(2), balancer(2)});
}

TEST_CASE("a referral by a busy balancer is asked next, and the busy one remains an upstream",
          "[upstream_poller]") {
  PollHarness harness;
  harness.directory.onAnswer(balancer(1));
  harness.peers.refuses(balancer(1), SourceError::Throttled, {balancer(7)});
  harness.peers.refuses(balancer(7), SourceError::Throttled, {balancer(8)});
  harness.peers.answersWith(balancer(8), {written("a", 8)}, 8);
  harness.poll();
  CHECK(harness.result->upstream == balancer(8));
  CHECK(harness.peers.requested == std::vector<Endpoint>{balancer(1), balancer(7), balancer(8)});
  const auto upstreams = harness.directory.ranked();
  CHECK(std::find(upstreams.begin(), upstreams.end(), balancer(1)) != upstreams.end());
}

TEST_CASE("a poll follows a limited number of referrals, then continues with its candidates",
          "[upstream_poller]") {
  PollHarness harness;
  harness.peers.refuses(balancer(1), SourceError::Throttled, {balancer(7)});
  harness.peers.refuses(balancer(7), SourceError::Throttled, {balancer(1)});
  harness.peers.answersWith(balancer(2), {}, 8);
  harness.poll();
  CHECK(harness.result->upstream == balancer(2));
  CHECK(harness.peers.requested.size() == 2 + harness.settings.max_referrals);
}

TEST_CASE(
    "the newest of several old views is used, and the next poll starts with the other candidates",
    "[upstream_poller]") {
  PollHarness harness;
  harness.peers.answersWith(balancer(1), {}, 5, 5000);
  harness.peers.answersWith(balancer(2), {}, 6, 3000);
  harness.peers.answersWith(balancer(3), {}, 5, 4000);
  harness.poll();
  CHECK_FALSE(harness.result->is_fresh);
  CHECK(harness.result->upstream == balancer(2));
  CHECK(harness.peers.requested.size() == harness.settings.max_peers);
  harness.peers.answersWith(balancer(4), {}, 9, 10);
  harness.poll();
  CHECK(harness.result->upstream == balancer(4));
}

TEST_CASE("a silent balancer is quarantined for long, one without a view for a short time",
          "[upstream_poller]") {
  PollHarness harness;
  for (std::uint32_t number = 1; number <= 3; ++number) {
    harness.directory.onAnswer(balancer(number));
  }
  harness.peers.refuses(balancer(2), SourceError::Unavailable);
  harness.poll();
  CHECK_FALSE(harness.result->view.has_value());
  CHECK(harness.directory.ranked().empty());
  harness.time.elapsed += seconds(3);
  CHECK(harness.directory.ranked() == std::vector<Endpoint>{balancer(2)});
}

TEST_CASE("a balancer with an old view is not an upstream for a short time", "[upstream_poller]") {
  PollHarness harness;
  harness.directory.onAnswer(balancer(1));
  harness.directory.onAnswer(balancer(2));
  harness.peers.answersWith(balancer(1), {}, 5, 1600);
  harness.peers.answersWith(balancer(2), {}, 5, 100);
  harness.poll();
  CHECK(harness.directory.ranked() == std::vector<Endpoint>{balancer(2)});
  harness.time.elapsed += seconds(3);
  CHECK(harness.directory.ranked().size() == 2);
}

TEST_CASE("no peer is marked failed if all of them are silent", "[upstream_poller]") {
  PollHarness harness;
  for (std::uint32_t number = 1; number <= 4; ++number) {
    harness.directory.onAnswer(balancer(number));
  }
  harness.poll();
  CHECK_FALSE(harness.result->view.has_value());
  CHECK(harness.directory.ranked().size() == 4);
}

TEST_CASE("a poll without candidates ends without a view", "[upstream_poller]") {
  PollHarness harness;
  std::optional<PollResult> result;
  harness.poller.poll({}, 5, [&](const PollResult& found) { result = found; });
  REQUIRE(result.has_value());
  CHECK_FALSE(result->view.has_value());
}

}  // namespace
}  // namespace lugfork
