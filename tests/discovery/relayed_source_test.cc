#include "discovery/relayed_source.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "discovery/fake_peers.h"

namespace lugfork {
namespace {

const std::string kPrefix;

/** Answers with what the test set. */
struct FakeNews : ViewNewsClient {
  void askNews(Endpoint peer, Revision after, NewsCallback callback) override {
    asked.push_back(peer);
    asked_after.push_back(after);
    if (endless) {
      callback(ViewNews{{1000, 10, true}, {written("a", after + 1)}, after + 1, false, 0});
      return;
    }
    callback(asked.size() > 1 && second_answer ? *second_answer : answer);
  }

  Result<ViewNews, SourceError> answer = ViewNews{{5, 100, true}, {}, 5, false, 0};
  /** Given in place of the first from the second question on, where it is set. */
  std::optional<Result<ViewNews, SourceError>> second_answer;
  /** Tells one change at a time, of very many. */
  bool endless = false;
  std::vector<Endpoint> asked;
  std::vector<Revision> asked_after;
};

struct RelayHarness : RelayHost {
  RelayHarness() {
    source.setHost(this);
    directory.onAlive(upstream());
  }

  bool storeAnswers() const override { return store_answers; }
  void onUpstreamFollowed(Endpoint) override { ++followed; }
  void onUpstreamLeft(Endpoint, std::string_view cause) override { left.emplace_back(cause); }

  /** Of two addresses the one with the lower rank is the upstream. */
  static Endpoint upstream() {
    return peerRank({1, 1}) < peerRank({2, 1}) ? Endpoint{1, 1} : Endpoint{2, 1};
  }
  static Endpoint own() { return upstream() == Endpoint{1, 1} ? Endpoint{2, 1} : Endpoint{1, 1}; }

  void watch() {
    answer.reset();
    source.watch({kPrefix, 5, seconds(1)},
                 [this](Result<ItemChanges, SourceError> result) { answer = std::move(result); });
  }

  /** The first watch after a full read shows that the store is caught up with. */
  void catchUp() {
    watch();
    store.answerWatch(kPrefix, ItemChanges{{}, 5});
  }

  void watchUpstream() {
    watch();
    scheduler.advance(settings.interval);
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  ManualSource store;
  FakePeers peers;
  FakeNews news;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, own(), {}, time, *random};
  UpstreamSelector selector{{}, own(), directory};
  RelaySettings settings;
  RelayedSource source{settings, store, peers, news, selector, scheduler};
  std::optional<Result<ItemChanges, SourceError>> answer;
  bool store_answers = true;
  int followed = 0;
  std::vector<std::string> left;
};

TEST_CASE("the store is watched until it is caught up with, then an upstream is asked",
          "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  CHECK(harness.news.asked.empty());
  const std::size_t store_calls = harness.store.watch_requests.size();
  harness.watchUpstream();
  CHECK(harness.news.asked == std::vector<Endpoint>{RelayHarness::upstream()});
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().changes.empty());
  CHECK(harness.answer->value().age_ms == 100);
  CHECK(harness.store.watch_requests.size() == store_calls);
  CHECK(harness.peers.calls == 0);
  CHECK(harness.followed == 1);
}

TEST_CASE("small changes come with the answer, larger ones are read from the upstream",
          "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  SECTION("small") {
    harness.news.answer = ViewNews{{9, 10, true}, {written("a", 9)}, 9, false, 0};
  }
  SECTION("larger") {
    harness.news.answer = ViewNews{{9, 10, true}, {}, 5, true, 2000};
    harness.peers.changes = {{written("a", 9)}, 9, 10};
  }
  harness.watchUpstream();
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().at == 9);
  CHECK(harness.answer->value().changes.size() == 1);
}

TEST_CASE("changes of several datagrams are asked for at once and told together",
          "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  harness.news.answer = ViewNews{{9, 10, true}, {written("a", 7)}, 7, false, 0};
  harness.news.second_answer = ViewNews{{9, 10, true}, {written("b", 9)}, 9, false, 0};
  harness.watchUpstream();
  CHECK(harness.news.asked_after == std::vector<Revision>{5, 7});
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().at == 9);
  CHECK(harness.answer->value().changes.size() == 2);
  CHECK(harness.peers.calls == 0);
}

/** Else a large item that is written again and again would stay behind small ones for ever. */
TEST_CASE("a large change behind small ones is read in the same watch", "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  harness.news.answer = ViewNews{{9, 10, true}, {written("a", 7)}, 7, false, 0};
  harness.peers.changes = {{written("a", 7), written("large", 9)}, 9, 10};
  SECTION("the upstream sends it") {
    harness.news.second_answer = ViewNews{{9, 10, true}, {}, 7, true, 5000};
    harness.watchUpstream();
    REQUIRE(harness.answer.has_value());
    CHECK(harness.answer->value().at == 9);
    CHECK(harness.answer->value().changes.size() == 2);
  }
  SECTION("the store sends it") {
    harness.news.second_answer = ViewNews{{9, 10, true}, {}, 7, true, 5000000};
    harness.watchUpstream();
    CHECK_FALSE(harness.answer.has_value());
    REQUIRE(harness.store.hasWatch(kPrefix));
    CHECK(harness.store.watch_requests.back().after == 5);
  }
}

TEST_CASE("news of very many datagrams is read from the store", "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  harness.news.endless = true;
  harness.watchUpstream();
  CHECK(harness.news.asked.size() == harness.settings.max_datagrams);
  CHECK_FALSE(harness.answer.has_value());
  REQUIRE(harness.store.hasWatch(kPrefix));
  CHECK(harness.store.watch_requests.back().after == 5);
  CHECK(harness.left.empty());
}

TEST_CASE("an upstream that is no help sends the same watch to the store at once",
          "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  harness.watchUpstream();
  const std::size_t store_calls = harness.store.watch_requests.size();
  SECTION("silent") {
    harness.news.answer = SourceError::NoAnswer;
  }
  SECTION("old view") {
    harness.news.answer = ViewNews{{5, 1900, true}, {}, 5, false, 0};
  }
  SECTION("no view, or about to stop") {
    harness.news.answer = ViewNews{{5, 0, false}, {}, 5, false, 0};
  }
  harness.watchUpstream();
  CHECK_FALSE(harness.answer.has_value());
  CHECK(harness.store.watch_requests.size() == store_calls + 1);
  CHECK(harness.store.watch_requests.back().after == 5);
  CHECK(harness.left.size() == 1);
  CHECK_FALSE(harness.selector.choose().has_value());
}

TEST_CASE("changes that would fill the upstream's link are read from the store",
          "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  harness.news.answer =
      ViewNews{{9, 10, true}, {}, 5, true, harness.settings.max_relayed_bytes + 1};
  harness.watchUpstream();
  CHECK(harness.peers.calls == 0);
  CHECK(harness.store.hasWatch(kPrefix));
  CHECK(harness.left.empty());
  CHECK(harness.selector.choose() == RelayHarness::upstream());
}

TEST_CASE("an upstream that began later than this view is caught up with at the store",
          "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  harness.news.answer = ViewNews{{9, 10, true}, {}, 5, true, 2000};
  harness.peers.error = SourceError::HistoryGone;
  harness.watchUpstream();
  CHECK_FALSE(harness.answer.has_value());
  CHECK(harness.store.hasWatch(kPrefix));
  CHECK(harness.selector.choose() == RelayHarness::upstream());
}

TEST_CASE("nobody is followed while the store does not answer or after a full read",
          "[relayed_source]") {
  RelayHarness harness;
  harness.catchUp();
  SECTION("the store does not answer") {
    harness.store_answers = false;
  }
  SECTION("a full read has begun") {
    harness.source.readPage({kPrefix, "", ReadConsistency::Latest},
                            [](const Result<ItemPage, SourceError>&) {});
  }
  harness.watch();
  CHECK(harness.store.hasWatch(kPrefix));
  CHECK(harness.news.asked.empty());
}

}  // namespace
}  // namespace lugfork
