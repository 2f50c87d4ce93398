#include "discovery/hedged_reads.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"

namespace lugfork {
namespace {

/** Collects all calls; the test answers each one by its index. */
struct CallCollector : ItemSource {
  void readPage(const PageRequest&, PageCallback callback) override {
    pages.push_back(std::move(callback));
  }
  void watch(const WatchRequest&, WatchCallback callback) override {
    watches.push_back(std::move(callback));
  }
  std::vector<PageCallback> pages;
  std::vector<WatchCallback> watches;
};

struct HedgeHarness {
  HedgeHarness() {
    reads.readPage({"", "", ReadConsistency::Latest}, [this](Result<ItemPage, SourceError> result) {
      ++answer_count;
      answer = std::move(result);
    });
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  CallCollector source;
  HedgedReadSettings settings;
  HedgedReads reads{settings, source, scheduler};
  std::optional<Result<ItemPage, SourceError>> answer;
  int answer_count = 0;
};

TEST_CASE("a read that is answered within the hedge delay is sent once", "[hedged_reads]") {
  HedgeHarness harness;
  harness.scheduler.advance(milliseconds(250));
  harness.source.pages[0](ItemPage{{}, false, 7});
  harness.scheduler.advance(seconds(5));
  CHECK(harness.source.pages.size() == 1);
  CHECK(harness.answer_count == 1);
  CHECK(harness.reads.hedges() == 0);
}

TEST_CASE("a read without an answer is sent again, and the first answer counts", "[hedged_reads]") {
  HedgeHarness harness;
  harness.scheduler.advance(milliseconds(650));
  REQUIRE(harness.source.pages.size() == 3);
  harness.source.pages[2](ItemPage{{}, false, 7});
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->value().at == 7);
  harness.source.pages[0](SourceError::NoAnswer);
  harness.source.pages[1](ItemPage{{}, false, 6});
  CHECK(harness.answer_count == 1);
  CHECK(harness.reads.hedges() == 2);
}

TEST_CASE("a refusal ends the read, a timeout of a later send does not", "[hedged_reads]") {
  HedgeHarness harness;
  harness.scheduler.advance(milliseconds(350));
  REQUIRE(harness.source.pages.size() == 2);
  harness.source.pages[1](SourceError::NoAnswer);
  CHECK(harness.answer_count == 0);
  SECTION("the first send is refused") {
    harness.source.pages[0](SourceError::Throttled);
    CHECK(harness.answer->error() == SourceError::Throttled);
  }
  SECTION("the first send times out") {
    harness.source.pages[0](SourceError::NoAnswer);
    CHECK(harness.answer->error() == SourceError::NoAnswer);
  }
  harness.scheduler.advance(seconds(5));
  CHECK(harness.source.pages.size() == 2);
}

TEST_CASE("sends of one read are limited, and watches are sent once", "[hedged_reads]") {
  HedgeHarness harness;
  harness.reads.watch({"", 5, seconds(1)}, [](const Result<ItemChanges, SourceError>&) {});
  harness.scheduler.advance(seconds(10));
  CHECK(harness.source.pages.size() == harness.settings.max_sends);
  CHECK(harness.source.watches.size() == 1);
}

}  // namespace
}  // namespace lugfork
