#include "discovery/upstream_source.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "discovery/fake_peers.h"

namespace lugfork {
namespace {

const std::string kPrefix;

/** @return three addresses, ordered by rank. */
std::vector<Endpoint> balancersByRank() {
  std::vector<Endpoint> balancers = {{1, 1}, {2, 1}, {3, 1}};
  std::sort(balancers.begin(), balancers.end(),
            [](Endpoint left, Endpoint right) { return peerRank(left) < peerRank(right); });
  return balancers;
}

const Endpoint kFirst = balancersByRank()[0];
const Endpoint kSecond = balancersByRank()[1];
const Endpoint kOwn = balancersByRank()[2];

struct SourceHarness : UpstreamListener {
  /** @param seeds the configured seeds. */
  explicit SourceHarness(std::vector<Endpoint> seeds = {})
      : directory({}, kOwn, std::move(seeds), time, *random) {
    source.setListener(this);
  }

  void onUpstreamChanged(Upstream upstream, Endpoint balancer, std::string_view cause) override {
    changes.emplace_back(upstream, balancer);
    causes.emplace_back(cause);
  }

  void read() {
    page.reset();
    source.readPage({kPrefix, "", ReadConsistency::MayBeStale},
                    [this](Result<ItemPage, SourceError> result) { page = std::move(result); });
  }

  void watch() {
    answer.reset();
    source.watch({kPrefix, 5, seconds(3)},
                 [this](Result<ItemChanges, SourceError> result) { answer = std::move(result); });
  }

  /** Adds two balancers of lower rank, and completes a watch of the store. */
  void catchUp() {
    directory.onAnswer(kFirst);
    directory.onAnswer(kSecond);
    watch();
    store.answerWatch(kPrefix, ItemChanges{{}, 5});
    changes.clear();
  }

  void poll() {
    watch();
    scheduler.advance(settings.probes.budget.poll_interval + milliseconds(20));
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  ManualSource store;
  FakePeers peers{scheduler};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory;
  UpstreamSelector selector{{}, kOwn, directory};
  UpstreamSourceSettings settings;
  UpstreamSource source{settings, kOwn, store, &peers, directory, selector, scheduler, time};
  std::optional<Result<ItemPage, SourceError>> page;
  std::optional<Result<ItemChanges, SourceError>> answer;
  std::vector<std::pair<Upstream, Endpoint>> changes;
  std::vector<std::string> causes;
};

TEST_CASE("a starting balancer reads its view from a seed, not from the store",
          "[upstream_source]") {
  SourceHarness harness({kSecond});
  harness.peers.answersWith(kSecond, {written("a", 3), written("b", 4)}, 9, 100, true);
  harness.read();
  harness.scheduler.advance(milliseconds(5));
  REQUIRE(harness.page.has_value());
  REQUIRE(*harness.page);
  CHECK(harness.page->value().items.size() == 2);
  CHECK(harness.page->value().is_whole_view);
  CHECK(harness.page->value().at == 9);
  CHECK(harness.page->value().age_ms == 100);
  CHECK(harness.store.page_requests.empty());

  SECTION("it polls the seed from then on, without calls to the store") {
    harness.peers.answersWith(kSecond, {written("c", 12)}, 12);
    harness.poll();
    REQUIRE(harness.answer.has_value());
    CHECK(harness.answer->value().at == 12);
    CHECK(harness.store.watch_requests.empty());
    CHECK(harness.changes.back() == std::pair(Upstream::Balancer, kSecond));
  }
}

TEST_CASE("a seed and a balancer without seeds read the store directly", "[upstream_source]") {
  SECTION("a seed") {
    SourceHarness harness({kOwn, kSecond});
    harness.read();
    CHECK(harness.store.hasPage(kPrefix));
    CHECK(harness.peers.requested.empty());
  }
  SECTION("no seeds") {
    SourceHarness harness;
    harness.read();
    CHECK(harness.store.hasPage(kPrefix));
  }
}

TEST_CASE("a balancer without peers uses only the store", "[upstream_source]") {
  SourceHarness harness;
  UpstreamSource source_without_peers(harness.settings, Endpoint(), harness.store, nullptr,
                                      harness.directory, harness.selector, harness.scheduler,
                                      harness.time);
  std::optional<Result<ItemChanges, SourceError>> answer;
  const auto keep = [&](Result<ItemChanges, SourceError> result) { answer = std::move(result); };
  source_without_peers.watch({kPrefix, 5, seconds(1)}, keep);
  harness.store.answerWatch(kPrefix, SourceError::Unavailable);
  harness.scheduler.advance(milliseconds(1));
  REQUIRE(answer.has_value());
  CHECK(answer->error() == SourceError::Unavailable);
}

TEST_CASE("a page is read from a peer if the store is silent or fails", "[upstream_source]") {
  SourceHarness harness({kOwn, kSecond});
  harness.peers.answersWith(kSecond, {written("a", 3)}, 9, 5000, true);
  harness.read();
  SECTION("store is silent") {
    harness.scheduler.advance(harness.settings.store_hedge_delay + milliseconds(5));
  }
  SECTION("store fails") {
    harness.store.answerPage(kPrefix, SourceError::Unavailable);
    harness.scheduler.advance(milliseconds(5));
  }
  REQUIRE(harness.page.has_value());
  REQUIRE(*harness.page);
  CHECK(harness.page->value().is_whole_view);
  CHECK(harness.changes.back().first == Upstream::FallbackPeer);
}

TEST_CASE("a read fails with the store's error if no peer has a view", "[upstream_source]") {
  SourceHarness harness({kOwn, kSecond});
  harness.read();
  harness.store.answerPage(kPrefix, SourceError::Throttled);
  harness.scheduler.advance(seconds(2));
  REQUIRE(harness.page.has_value());
  CHECK(harness.page->error() == SourceError::Throttled);
}

TEST_CASE("the store is watched until the view has caught up, then a peer is polled",
          "[upstream_source]") {
  SourceHarness harness;
  harness.peers.answersWith(kFirst, {}, 5);
  harness.catchUp();
  CHECK(harness.peers.requested.empty());
  const std::size_t store_calls = harness.store.watch_requests.size();
  harness.poll();
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().changes.empty());
  CHECK(harness.answer->value().age_ms == 100);
  CHECK(harness.store.watch_requests.size() == store_calls);
  CHECK(harness.peers.requested == std::vector<Endpoint>{kFirst});
  CHECK(harness.peers.requested_after == std::vector<Revision>{5});
}

TEST_CASE("the store is probed at once if the only upstream has no fresh view",
          "[upstream_source]") {
  SourceHarness harness;
  harness.catchUp();
  const std::size_t store_calls = harness.store.watch_requests.size();
  SECTION("upstream is silent") {
    harness.peers.stopsAnswering(kFirst);
  }
  SECTION("upstream has an old view") {
    harness.peers.answersWith(kFirst, {}, 5, 1900);
  }
  SECTION("upstream has no view or is about to stop") {
    harness.peers.refuses(kFirst, SourceError::Unavailable);
  }
  harness.watch();
  harness.scheduler.advance(harness.settings.probes.budget.poll_interval +
                            harness.settings.poll.response_timeout + milliseconds(10));
  CHECK_FALSE(harness.answer.has_value());
  REQUIRE(harness.store.watch_requests.size() == store_calls + 1);
  CHECK(harness.store.watch_requests.back().after == 5);
  CHECK(harness.store.watch_requests.back().wait == harness.settings.store_probe_wait);
  harness.store.answerWatch(kPrefix, ItemChanges{{written("a", 8)}, 8});
  CHECK(harness.answer->value().at == 8);

  SECTION("the store is watched for a while afterwards") {
    harness.watch();
    CHECK(harness.store.watch_requests.back().wait == seconds(3));
  }
}

TEST_CASE("the store is probed during a pending poll once the view is too old to wait",
          "[upstream_source]") {
  SourceHarness harness;
  harness.catchUp();
  const Duration deadline = FreshnessBudget().maxProbeAge();
  const std::size_t store_calls = harness.store.watch_requests.size();
  harness.peers.answersWith(kFirst, {written("a", 7)}, 7);
  harness.peers.answer_delay = seconds(9);
  harness.watch();
  harness.scheduler.advance(deadline - milliseconds(1));
  CHECK(harness.store.watch_requests.size() == store_calls);
  harness.scheduler.advance(milliseconds(1));
  REQUIRE(harness.store.watch_requests.size() == store_calls + 1);
  CHECK(harness.source.counters().deadline_probes == 1);
  const Duration until_poll_ends =
      harness.settings.probes.budget.poll_interval + harness.peers.answer_delay - deadline;

  SECTION("the store's answer is used and the poll's is dropped") {
    harness.store.answerWatch(kPrefix, ItemChanges{{written("a", 8)}, 8});
    REQUIRE(harness.answer.has_value());
    CHECK(harness.answer->value().at == 8);
    harness.answer.reset();
    harness.scheduler.advance(until_poll_ends);
    CHECK_FALSE(harness.answer.has_value());
  }
  SECTION("the poll's answer is used if it arrives first") {
    harness.scheduler.advance(until_poll_ends);
    REQUIRE(harness.answer.has_value());
    CHECK(harness.answer->value().at == 7);
    harness.answer.reset();
    harness.store.answerWatch(kPrefix, ItemChanges{{written("a", 8)}, 8});
    CHECK_FALSE(harness.answer.has_value());
    // The store's late changes are delivered with the next answer: they are not sent again.
    harness.peers.answersWith(kFirst, {written("b", 9)}, 9);
    harness.peers.answer_delay = milliseconds(1);
    harness.poll();
    REQUIRE(harness.answer.has_value());
    REQUIRE(harness.answer->value().changes.size() == 2);
    CHECK(harness.answer->value().changes[0].item.revision == 8);
    CHECK(harness.answer->value().changes[1].item.revision == 9);
    CHECK(harness.answer->value().at == 9);
    harness.poll();
    CHECK(harness.answer->value().changes.size() == 1);
  }
  SECTION("the poll's answer is used if the store fails") {
    harness.store.answerWatch(kPrefix, SourceError::NoAnswer);
    CHECK_FALSE(harness.answer.has_value());
    harness.scheduler.advance(until_poll_ends);
    REQUIRE(harness.answer.has_value());
    CHECK(harness.answer->value().at == 7);
  }
}

TEST_CASE("the age of the view includes the age reported by the upstream", "[upstream_source]") {
  SourceHarness harness;
  harness.catchUp();
  harness.peers.answersWith(kFirst, {}, 5, 1400);
  harness.scheduler.advance(seconds(2));
  harness.poll();
  REQUIRE(harness.answer.has_value());
  const std::size_t store_calls = harness.store.watch_requests.size();
  harness.peers.answer_delay = seconds(9);
  harness.watch();
  harness.scheduler.advance(FreshnessBudget().maxProbeAge() - milliseconds(1400));
  CHECK(harness.store.watch_requests.size() == store_calls + 1);
}

TEST_CASE("an old view is used if the store does not answer either", "[upstream_source]") {
  SourceHarness harness;
  harness.catchUp();
  harness.peers.answersWith(kFirst, {written("a", 8)}, 8, 9000);
  harness.peers.answersWith(kSecond, {written("a", 8)}, 8, 9000);
  harness.poll();
  harness.store.answerWatch(kPrefix, SourceError::NoAnswer);
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().at == 8);
  CHECK(harness.answer->value().age_ms == 9000);

  SECTION("the store is not probed again for a while") {
    const std::size_t store_calls = harness.store.watch_requests.size();
    harness.poll();
    CHECK(harness.answer.has_value());
    CHECK(harness.store.watch_requests.size() == store_calls);
    harness.scheduler.advance(harness.settings.probes.store_retry_interval);
    harness.poll();
    CHECK(harness.store.watch_requests.size() == store_calls + 1);
  }
}

TEST_CASE("a large fleet with old upstreams spreads its store probes over time",
          "[upstream_source]") {
  ManualTimeSource time;
  ManualScheduler scheduler(time);
  const auto random = makeSeededRandom(1);
  std::vector<Endpoint> fleet;
  for (std::uint32_t address = 1; address <= 300; ++address) {
    fleet.push_back({address, 1});
  }
  std::size_t probed_within_first_poll = 0;
  std::size_t probed_within_spread = 0;
  std::size_t followers = 0;
  UpstreamSourceSettings settings;
  for (const Endpoint& own : fleet) {
    PeerDirectory directory({}, own, {}, time, *random);
    directory.onPeersReported({fleet.begin(), fleet.end()});
    UpstreamSelector selector({}, own, directory);
    FakePeers peers(scheduler);
    for (const Endpoint& peer : fleet) {
      peers.answersWith(peer, {}, 5, 5000);
    }
    ManualSource store;
    UpstreamSource source(settings, own, store, &peers, directory, selector, scheduler, time);
    source.watch({kPrefix, 5, seconds(1)}, [](const Result<ItemChanges, SourceError>&) {});
    store.answerWatch(kPrefix, ItemChanges{{}, 5});
    if (selector.upstreams().empty()) {
      continue;
    }
    ++followers;
    const MonotonicTime started_at = time.monotonicTime();
    std::function<void()> watch = [&] {
      source.watch({kPrefix, 5, seconds(1)},
                   [&](const Result<ItemChanges, SourceError>&) { watch(); });
    };
    watch();
    scheduler.advance(settings.probes.budget.poll_interval + milliseconds(100));
    probed_within_first_poll += store.hasWatch(kPrefix) ? 1 : 0;
    scheduler.advance(seconds(4));
    probed_within_spread += store.hasWatch(kPrefix) ? 1 : 0;
    CHECK(time.monotonicTime() - started_at < seconds(6));
    watch = [] {};
    scheduler.advance(seconds(1));
  }
  CHECK(followers >= 290);
  CHECK(probed_within_first_poll < 60);
  CHECK(probed_within_spread == followers);
}

TEST_CASE("a watcher polls a fallback peer if the store does not answer", "[upstream_source]") {
  const SourceError error = GENERATE(SourceError::NoAnswer, SourceError::Throttled,
                                     SourceError::Unavailable, SourceError::Malformed);
  SourceHarness harness;
  UpstreamSelector watcher_selector({10}, kOwn, harness.directory);
  UpstreamSource source(harness.settings, kOwn, harness.store, &harness.peers, harness.directory,
                        watcher_selector, harness.scheduler, harness.time);
  source.setListener(&harness);
  harness.directory.onAnswer(kFirst);
  harness.peers.answersWith(kFirst, {written("a", 7)}, 7);
  const auto watch = [&] {
    harness.answer.reset();
    source.watch({kPrefix, 5, seconds(3)}, [&](Result<ItemChanges, SourceError> result) {
      harness.answer = std::move(result);
    });
  };
  watch();
  CHECK(harness.store.watch_requests.back().wait == seconds(3));
  harness.store.answerWatch(kPrefix, error);
  harness.scheduler.advance(milliseconds(5));
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().at == 7);
  CHECK(harness.changes.back() == std::pair(Upstream::FallbackPeer, kFirst));
  CHECK(harness.causes.back() == toString(error));

  SECTION("the peer is polled for a while, then the store is probed with a short watch") {
    const std::size_t store_calls = harness.store.watch_requests.size();
    watch();
    harness.scheduler.advance(harness.settings.probes.budget.poll_interval + milliseconds(5));
    CHECK(harness.answer.has_value());
    CHECK(harness.store.watch_requests.size() == store_calls);

    harness.scheduler.advance(harness.settings.probes.store_retry_interval);
    watch();
    REQUIRE(harness.store.hasWatch(kPrefix));
    CHECK(harness.store.watch_requests.back().wait == harness.settings.store_probe_wait);
    harness.store.answerWatch(kPrefix, ItemChanges{{}, 8});
    CHECK(harness.changes.back().first == Upstream::Store);
    watch();
    CHECK(harness.store.watch_requests.back().wait == seconds(3));
  }
}

TEST_CASE("lost history is treated as an answer of the store, not as a failure",
          "[upstream_source]") {
  SourceHarness harness;
  harness.watch();
  harness.store.answerWatch(kPrefix, SourceError::HistoryGone);
  CHECK(harness.answer->error() == SourceError::HistoryGone);
  CHECK(harness.peers.requested.empty());
}

TEST_CASE("a watch fails with the store's error if no peer answers", "[upstream_source]") {
  SourceHarness harness;
  SECTION("peer is dead") {
    harness.directory.onAnswer(kFirst);
  }
  SECTION("no peer is known") {}
  harness.watch();
  harness.store.answerWatch(kPrefix, SourceError::Unavailable);
  harness.scheduler.advance(seconds(1));
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->error() == SourceError::Unavailable);
  CHECK_FALSE(harness.directory.pickRandom().has_value());
}

TEST_CASE("a view whose history is lost is read again from a peer", "[upstream_source]") {
  SourceHarness harness;
  harness.catchUp();
  harness.peers.refuses(kFirst, SourceError::Unavailable);
  harness.watch();
  harness.scheduler.advance(harness.settings.probes.budget.poll_interval + milliseconds(20));
  harness.store.answerWatch(kPrefix, SourceError::HistoryGone);
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->error() == SourceError::HistoryGone);
  harness.scheduler.advance(seconds(3));
  harness.peers.answersWith(kFirst, {written("a", 8)}, 8, 10, true);
  harness.read();
  harness.scheduler.advance(milliseconds(20));
  REQUIRE(harness.page.has_value());
  REQUIRE(*harness.page);
  CHECK(harness.page->value().is_whole_view);
  CHECK(harness.store.page_requests.empty());
}

}  // namespace
}  // namespace lugfork
