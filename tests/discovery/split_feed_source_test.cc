#include "discovery/split_feed_source.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "discovery/discovery_fixture.h"

namespace lugfork {
namespace {

const std::string kBackends = "backends/";
const std::string kDocuments = "documents/";

const std::string kAll = "all/";

/** A user that watches all items, and a store with scripted answers. */
struct SplitHarness {
  void watch(Revision after, Duration wait = seconds(1)) {
    answer.reset();
    source.watch({kAll, after, wait},
                 [this](Result<ItemChanges, SourceError> result) { answer = std::move(result); });
    scheduler.advance(Duration::zero());
  }

  /** Receives both kinds of items at a revision, then starts the next watch. */
  void startSession(Revision after) {
    watch(after, milliseconds(1));
    store.answerWatch(kBackends, ItemChanges{{}, after});
    store.answerPage(kDocuments, ItemPage{{}, false, after});
    REQUIRE(answer.has_value());
    watch(after);
  }

  /** Reports a change of a document and waits until documents are read separately. */
  void changeDocuments() {
    store.answerWatch(kAll, ItemChanges{{written("documents/routes", 11)}, 11});
    watch(11);
    scheduler.advance(settings.cooldown);
  }

  std::vector<std::string> changedKeys() const {
    std::vector<std::string> keys;
    for (const ItemChange& change : answer->value().changes) {
      keys.push_back((change.deleted ? "-" : "") + change.item.key);
    }
    return keys;
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  ManualSource full_read_source;
  ManualSource store;
  SplitFeedSettings settings{kBackends, kDocuments};
  SplitFeedSource source{settings, full_read_source, store, scheduler, time};
  std::optional<Result<ItemChanges, SourceError>> answer;
};

TEST_CASE("the first watch is answered once backends and documents have been received",
          "[split_feed_source]") {
  SplitHarness harness;
  harness.watch(10, milliseconds(1));
  CHECK_FALSE(harness.store.hasPage(kDocuments));
  CHECK(harness.store.watch_requests.back().after == 10);
  harness.store.answerWatch(kBackends, ItemChanges{{written("backends/a", 12)}, 14});
  CHECK_FALSE(harness.answer.has_value());
  harness.store.answerPage(kDocuments, ItemPage{{item("documents/routes", 3)}, false, 13});
  REQUIRE(harness.answer.has_value());
  CHECK(harness.changedKeys() == std::vector<std::string>{"backends/a", "documents/routes"});
  CHECK(harness.answer->value().at == 13);
}

TEST_CASE("one watch returns all changes while documents do not change", "[split_feed_source]") {
  SplitHarness harness;
  harness.startSession(10);
  const std::uint64_t reads = harness.source.counters().document_reads;
  for (Revision revision = 11; revision < 20; ++revision) {
    CHECK(harness.store.watch_requests.back().prefix == kAll);
    CHECK(harness.store.watch_requests.back().after == revision - 1);
    harness.store.answerWatch(kAll, ItemChanges{{written("backends/a", revision)}, revision});
    CHECK(harness.answer->value().at == revision);
    harness.watch(revision);
    harness.scheduler.advance(harness.settings.cooldown);
  }
  CHECK(harness.source.counters().document_reads == reads);
}

TEST_CASE("on a fast link one watch returns all changes, even while documents change",
          "[split_feed_source]") {
  SplitHarness harness;
  SplitFeedSettings settings = harness.settings;
  settings.read_documents_separately = false;
  SplitFeedSource source(settings, harness.full_read_source, harness.store, harness.scheduler,
                         harness.time);
  for (Revision revision = 11; revision < 20; ++revision) {
    std::optional<Result<ItemChanges, SourceError>> answer;
    source.watch({kAll, revision - 1, seconds(1)},
                 [&](Result<ItemChanges, SourceError> result) { answer = std::move(result); });
    harness.scheduler.advance(harness.settings.cooldown);
    CHECK(harness.store.watch_requests.back().after == revision - 1);
    harness.store.answerWatch(kAll, ItemChanges{{written("documents/routes", revision)}, revision});
    REQUIRE(answer.has_value());
    CHECK(answer->value().at == revision);
  }
  CHECK(harness.store.page_requests.empty());
  CHECK(source.counters().watches == 9);
}

TEST_CASE("a backend's change is delivered at once while a read of documents is in flight",
          "[split_feed_source]") {
  SplitHarness harness;
  harness.startSession(10);
  harness.changeDocuments();
  REQUIRE(harness.store.hasPage(kDocuments));
  harness.store.answerWatch(kBackends, ItemChanges{{written("backends/a", 12)}, 12});
  REQUIRE(harness.answer.has_value());
  CHECK(harness.changedKeys() == std::vector<std::string>{"backends/a"});
  // The documents are complete only up to this revision.
  CHECK(harness.answer->value().at == 11);
}

TEST_CASE("changing documents are read at intervals until they stop changing",
          "[split_feed_source]") {
  SplitHarness harness;
  harness.startSession(10);
  harness.changeDocuments();
  harness.store.answerPage(kDocuments, ItemPage{{item("documents/routes", 30)}, false, 31});
  CHECK(harness.changedKeys() == std::vector<std::string>{"documents/routes"});
  harness.watch(11);
  CHECK_FALSE(harness.store.hasPage(kDocuments));
  harness.scheduler.advance(harness.settings.cooldown);
  harness.store.answerPage(kDocuments, ItemPage{{item("documents/routes", 30)}, false, 40});
  harness.watch(11);
  // The watch of the endpoints is still open; the next one covers all items and misses no change.
  harness.store.answerWatch(kBackends, ItemChanges{{}, 45});
  CHECK(harness.answer->value().at == 40);
  harness.watch(40);
  CHECK_FALSE(harness.store.hasPage(kDocuments));
  CHECK(harness.store.watch_requests.back().prefix == kAll);
  CHECK(harness.store.watch_requests.back().after == 40);
}

TEST_CASE("a document missing from a complete read is reported as deleted", "[split_feed_source]") {
  SplitHarness harness;
  harness.startSession(10);
  harness.source.setUserKeys(
      [](const std::string&) { return std::vector<std::string>{"documents/zone"}; });
  harness.changeDocuments();
  const bool has_more = GENERATE(false, true);
  harness.store.answerPage(kDocuments, ItemPage{{item("documents/routes", 30)}, has_more, 31});
  const auto keys = harness.changedKeys();
  CHECK((std::count(keys.begin(), keys.end(), "-documents/zone") == 1) == !has_more);
}

TEST_CASE("an error is reported, and the next watch starts with a single call",
          "[split_feed_source]") {
  const SourceError error = GENERATE(SourceError::NoAnswer, SourceError::Throttled,
                                     SourceError::Unavailable, SourceError::HistoryGone);
  SplitHarness harness;
  harness.startSession(10);
  SECTION("error of the watch") {
    harness.store.answerWatch(kAll, error);
  }
  SECTION("error of a read of documents") {
    harness.changeDocuments();
    harness.store.answerPage(kDocuments, error);
  }
  REQUIRE(harness.answer.has_value());
  REQUIRE_FALSE(harness.answer->has_value());
  CHECK(harness.answer->error() == error);
  const std::size_t calls =
      harness.store.watch_requests.size() + harness.store.page_requests.size();
  harness.watch(11);
  CHECK(harness.store.watch_requests.size() + harness.store.page_requests.size() == calls + 1);
  CHECK(harness.store.watch_requests.back().prefix == kBackends);
}

TEST_CASE("a burst of changes needs one watch per cooldown", "[split_feed_source]") {
  SplitHarness harness;
  harness.startSession(10);
  const std::uint64_t before = harness.source.counters().watches;
  harness.store.answerWatch(kAll, ItemChanges{{written("backends/a", 11)}, 11});
  harness.watch(11);
  CHECK(harness.source.counters().watches == before);
  harness.scheduler.advance(harness.settings.cooldown);
  CHECK(harness.source.counters().watches == before + 1);
}

TEST_CASE("a watch after a long gap returns the changes since, not those of the old session",
          "[split_feed_source]") {
  SplitHarness harness;
  harness.startSession(10);
  harness.scheduler.advance(seconds(5));
  harness.watch(50, milliseconds(1));
  CHECK(harness.store.watch_requests.back().prefix == kBackends);
  CHECK(harness.store.watch_requests.back().after == 50);
  harness.store.answerWatch(kBackends, ItemChanges{{}, 52});
  CHECK_FALSE(harness.answer.has_value());
  harness.store.answerPage(kDocuments, ItemPage{{}, false, 51});
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().at == 51);
}

}  // namespace
}  // namespace lugfork
