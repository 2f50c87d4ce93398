#include "load/opening_backlog.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

struct OpeningHarness {
  explicit OpeningHarness(bool rejects_late = false) : backlog(settingsOf(rejects_late)) {}

  static OpeningBacklogSettings settingsOf(bool rejects_late) {
    OpeningBacklogSettings settings;
    settings.rejects_late = rejects_late;
    return settings;
  }

  void add(std::uint64_t flow, std::uint32_t retransmissions = 0) {
    PendingOpening opening;
    opening.flow = {0, flow};
    opening.retransmissions = retransmissions;
    opening.read_at = now;
    opening.queued_since = now;
    opening.earliest_arrival = now - milliseconds(10);
    opening.bytes = {static_cast<std::uint8_t>(retransmissions)};
    backlog.add(std::move(opening));
  }

  /** @return the flow that is served next, or 0. */
  std::uint64_t take() {
    const auto taken = backlog.take(now);
    return taken ? taken->flow.low : 0;
  }

  MonotonicTime now{seconds(1000)};
  OpeningBacklog backlog;
};

TEST_CASE("openings are served in their order, and those begun last first once one waits for long",
          "[opening_backlog]") {
  OpeningHarness harness;
  for (std::uint64_t flow = 1; flow <= 4; ++flow) {
    harness.add(flow);
    harness.now += milliseconds(1);
  }
  harness.add(5, 1);
  CHECK(harness.take() == 1);
  harness.now += milliseconds(96);
  CHECK(harness.take() == 2);
  harness.now += milliseconds(2);
  CHECK(harness.take() == 4);
  CHECK(harness.take() == 3);
  // Its caller began 200 ms before the others.
  CHECK(harness.take() == 5);
  CHECK(harness.take() == 0);
  CHECK(harness.backlog.isEmpty());
}

TEST_CASE("an opening whose caller has sent a copy or gone is not served", "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1, 0);
  harness.add(2, 1);
  harness.add(3, 2);
  SECTION("the next copy of the first comes after 200 ms") {
    harness.now += milliseconds(199);
    CHECK(harness.take() == 1);
    CHECK(harness.take() == 2);
    CHECK(harness.take() == 3);
    harness.add(4, 0);
    harness.now += milliseconds(200);
    CHECK(harness.take() == 0);
  }
  SECTION("the second copy comes 400 ms after the first copy") {
    harness.now += milliseconds(400);
    CHECK(harness.take() == 3);
    CHECK(harness.backlog.counters().expired == 2);
  }
  SECTION("nobody waits 800 ms after the second copy") {
    harness.now += milliseconds(800);
    CHECK(harness.take() == 0);
    CHECK(harness.backlog.counters().expired == 3);
  }
}

TEST_CASE("a copy joins the opening that waits", "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1, 0);
  harness.add(2, 0);
  harness.now += milliseconds(190);
  harness.add(1, 1);
  CHECK(harness.backlog.size() == 2);
  harness.now += milliseconds(390);
  SECTION("it stays useful, and no server was asked yet") {
    const auto taken = harness.backlog.take(harness.now);
    REQUIRE(taken);
    CHECK(taken->flow.low == 1);
    CHECK(taken->bytes == std::vector<std::uint8_t>{0});
    CHECK(taken->hasAllTransmissions());
  }
  SECTION("where a copy between went elsewhere, a server may have been asked") {
    OpeningHarness other;
    other.add(1, 0);
    other.add(1, 2);
    const auto taken = other.backlog.take(other.now);
    REQUIRE(taken);
    CHECK(taken->bytes == std::vector<std::uint8_t>{2});
    CHECK_FALSE(taken->hasAllTransmissions());
  }
}

TEST_CASE("a copy that was sent before an answer could be there is no second opening",
          "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1, 0);
  CHECK(harness.take() == 1);
  harness.now += milliseconds(49);
  harness.add(1, 1);
  CHECK(harness.take() == 0);
  SECTION("one that comes later is") {
    harness.now += milliseconds(1);
    harness.add(1, 1);
    CHECK(harness.take() == 1);
  }
  SECTION("a new opening from the same port is") {
    harness.add(1, 0);
    CHECK(harness.take() == 1);
  }
}

TEST_CASE("an opening that waited for over 100 ms may be open through another node",
          "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1);
  const auto taken = harness.backlog.take(harness.now);
  REQUIRE(taken);
  CHECK_FALSE(harness.backlog.mayBeOpen(*taken, harness.now + milliseconds(100)));
  CHECK(harness.backlog.mayBeOpen(*taken, harness.now + milliseconds(101)));
}

TEST_CASE("a flow that its caller gives up is not opened", "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1);
  harness.add(2);
  harness.backlog.onAbandoned({0, 1});
  CHECK(harness.take() == 2);
  CHECK(harness.take() == 0);
  CHECK(harness.backlog.counters().abandoned == 1);
}

TEST_CASE("the backlog is bounded, and the oldest make room", "[opening_backlog]") {
  OpeningHarness harness;
  for (std::uint64_t flow = 1; flow <= 600; ++flow) {
    harness.add(flow);
  }
  CHECK(harness.backlog.size() == 512);
  CHECK(harness.backlog.counters().evicted == 88);
  CHECK(harness.take() == 89);
}

TEST_CASE("only what surely no server got is rejected", "[opening_backlog]") {
  OpeningHarness harness(true);
  SECTION("nothing at all where rejections are off") {
    OpeningHarness other;
    other.add(1);
    other.now += milliseconds(60);
    CHECK_FALSE(other.backlog.takeForRejection(other.now));
  }
  SECTION("a first opening between 50 and 100 ms") {
    harness.add(1);
    harness.now += milliseconds(49);
    CHECK_FALSE(harness.backlog.takeForRejection(harness.now));
    harness.now += milliseconds(1);
    CHECK(harness.backlog.takeForRejection(harness.now).has_value());
  }
  SECTION("not one that may have come more than 100 ms ago") {
    harness.add(1);
    harness.now += milliseconds(91);
    CHECK_FALSE(harness.backlog.takeForRejection(harness.now));
    CHECK(harness.take() == 1);
  }
  SECTION("no copy") {
    harness.add(1, 1);
    harness.now += milliseconds(60);
    CHECK_FALSE(harness.backlog.takeForRejection(harness.now));
  }
}

}  // namespace
}  // namespace lugfork
