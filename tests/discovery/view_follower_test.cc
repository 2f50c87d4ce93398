#include "discovery/view_follower.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"

namespace lugfork {
namespace {

const std::string kPrefix = "things/";

/** A follower, the events it reported, and a store with scripted answers. */
struct FollowerHarness : ViewFollowerHost {
  FollowerHarness() { follower.start(); }

  void onItems(const std::vector<ItemChange>& changes) override {
    for (const ItemChange& change : changes) {
      if (change.deleted) {
        revisions.erase(change.item.key);
      } else {
        revisions[change.item.key] = change.item.revision;
      }
    }
  }
  void onComplete(ViewOrigin) override { ++completions; }
  void onCaughtUp() override { ++catch_ups; }
  void onSourceLost(SourceError cause) override { losses.push_back(cause); }
  void onSourceRecovered(Duration) override { ++recoveries; }

  void answerPage(Result<ItemPage, SourceError> answer) {
    source.answerPage(kPrefix, std::move(answer));
  }
  void answerWatch(Result<ItemChanges, SourceError> answer) {
    source.answerWatch(kPrefix, std::move(answer));
    scheduler.advance(Duration::zero());
  }

  /** Answers a full read with these items, then the watch that follows it. */
  void complete(std::vector<Item> items, Revision at) {
    answerPage(ItemPage{std::move(items), false, at});
    answerWatch(ItemChanges{{}, at});
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  ManualSource source;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  ViewFollowerSettings settings;
  ViewFollower follower{kPrefix, settings, source, scheduler, time, *random, *this};
  std::map<std::string, Revision> revisions;
  std::vector<SourceError> losses;
  int completions = 0;
  int catch_ups = 0;
  int recoveries = 0;
};

using Revisions = std::map<std::string, Revision>;

TEST_CASE("a view is complete after all pages and fresh after the first watch", "[view_follower]") {
  FollowerHarness harness;
  harness.answerPage(ItemPage{{item("things/a", 1)}, true, 10});
  CHECK(harness.source.page_requests.back().after_key == "things/a");
  CHECK_FALSE(harness.follower.isComplete());
  harness.answerPage(ItemPage{{item("things/b", 12)}, false, 12});
  CHECK(harness.follower.isComplete());
  CHECK(harness.completions == 1);
  CHECK_FALSE(harness.follower.isCaughtUp());
  CHECK_FALSE(harness.follower.isFresh());
  // Pages are not a snapshot, so the watch continues from the first page's revision.
  CHECK(harness.source.watch_requests.back().after == 10);
  harness.answerWatch(ItemChanges{{deleted("things/a", 11)}, 12});
  CHECK(harness.follower.isCaughtUp());
  CHECK(harness.follower.isFresh());
  CHECK(harness.completions == 1);
  CHECK(harness.revisions == Revisions{{"things/b", 12}});
}

TEST_CASE("the first read may be stale; if its history is gone, the latest items are read",
          "[view_follower]") {
  FollowerHarness harness;
  CHECK(harness.source.page_requests.back().consistency == ReadConsistency::MayBeStale);
  harness.answerPage(ItemPage{{item("things/a", 1)}, false, 4});
  CHECK(harness.follower.isComplete());
  harness.answerWatch(SourceError::HistoryGone);
  CHECK_FALSE(harness.follower.isCaughtUp());
  CHECK(harness.source.page_requests.back().consistency == ReadConsistency::Latest);
  harness.complete({item("things/b", 9)}, 10);
  CHECK(harness.follower.isCaughtUp());
  CHECK(harness.completions == 1);
  CHECK(harness.revisions == Revisions{{"things/b", 9}});
}

TEST_CASE("items never revert to an older revision, whatever the order of answers",
          "[view_follower]") {
  FollowerHarness harness;
  harness.complete({item("things/a", 5)}, 9);
  harness.answerWatch(ItemChanges{{written("things/a", 20), written("things/a", 15)}, 20});
  CHECK(harness.revisions == Revisions{{"things/a", 20}});
  SECTION("after a full read from a lagging replica") {
    harness.answerWatch(SourceError::HistoryGone);
    harness.complete({item("things/a", 15)}, 16);
    CHECK(harness.revisions == Revisions{{"things/a", 20}});
  }
  SECTION("a deleted key is not restored by a stale page") {
    harness.answerWatch(ItemChanges{{deleted("things/a", 30)}, 30});
    harness.answerWatch(SourceError::HistoryGone);
    harness.complete({item("things/a", 20)}, 21);
    CHECK(harness.revisions.empty());
  }
}

TEST_CASE("a full read after lost history detects deletions", "[view_follower]") {
  FollowerHarness harness;
  harness.complete({item("things/a", 5), item("things/b", 6)}, 9);
  harness.answerWatch(SourceError::HistoryGone);
  CHECK(harness.source.page_requests.back().consistency == ReadConsistency::Latest);
  CHECK(harness.revisions.size() == 2);
  harness.complete({item("things/b", 6)}, 40);
  CHECK(harness.revisions == Revisions{{"things/b", 6}});
  CHECK(harness.completions == 1);
}

TEST_CASE("a key written after the first page is not treated as deleted", "[view_follower]") {
  FollowerHarness harness;
  harness.complete({item("things/a", 5)}, 9);
  harness.answerWatch(ItemChanges{{written("things/c", 50)}, 50});
  harness.answerWatch(SourceError::HistoryGone);
  // Answer of a replica that does not have the newest key yet.
  harness.complete({item("things/a", 5)}, 45);
  CHECK(harness.revisions == Revisions{{"things/a", 5}, {"things/c", 50}});
}

TEST_CASE("a failed call leaves the view unchanged", "[view_follower]") {
  const SourceError error =
      GENERATE(SourceError::NotFound, SourceError::Throttled, SourceError::Unavailable,
               SourceError::NoAnswer, SourceError::Malformed);
  FollowerHarness harness;
  harness.complete({item("things/a", 5)}, 9);
  harness.answerWatch(error);
  CHECK(harness.revisions == Revisions{{"things/a", 5}});
  CHECK(harness.losses == std::vector<SourceError>{error});
  CHECK(harness.follower.counters().errors[static_cast<std::size_t>(error)] == 1);

  SECTION("the same watch is repeated after a delay") {
    CHECK_FALSE(harness.source.hasWatch(kPrefix));
    harness.scheduler.advance(harness.settings.min_retry_delay);
    REQUIRE(harness.source.hasWatch(kPrefix));
    CHECK(harness.source.watch_requests.back().after == 9);
    harness.answerWatch(ItemChanges{{written("things/b", 10)}, 10});
    CHECK(harness.recoveries == 1);
    CHECK(harness.revisions.size() == 2);
  }
  SECTION("the delay grows to a limit, and one loss is reported once") {
    for (int failure = 0; failure < 20; ++failure) {
      harness.scheduler.advance(harness.settings.max_retry_delay);
      REQUIRE(harness.source.hasWatch(kPrefix));
      harness.answerWatch(error);
    }
    CHECK(harness.losses.size() == 1);
  }
}

TEST_CASE("a failed page is read again and the full read continues", "[view_follower]") {
  FollowerHarness harness;
  harness.answerPage(ItemPage{{item("things/a", 1)}, true, 10});
  harness.answerPage(SourceError::Throttled);
  harness.scheduler.advance(harness.settings.max_retry_delay);
  CHECK(harness.source.page_requests.back().after_key == "things/a");
  harness.complete({item("things/b", 2)}, 10);
  CHECK(harness.revisions.size() == 2);
}

TEST_CASE("a view is fresh only while the store answers", "[view_follower]") {
  FollowerHarness harness;
  CHECK_FALSE(harness.follower.isFresh());
  harness.complete({}, 9);
  CHECK(harness.follower.isFresh());
  harness.scheduler.advance(harness.settings.watch_wait + harness.settings.max_answer_age +
                            seconds(1));
  CHECK_FALSE(harness.follower.isFresh());
}

}  // namespace
}  // namespace lugfork
