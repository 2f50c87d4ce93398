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

TEST_CASE("openings are served in order, but most recently started first once one waits 100 ms",
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
  // Its client started 200 ms before the others.
  CHECK(harness.take() == 5);
  CHECK(harness.take() == 0);
  CHECK(harness.backlog.isEmpty());
}

TEST_CASE("an opening is not served after its client has retransmitted it or given up",
          "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1, 0);
  harness.add(2, 1);
  harness.add(3, 2);
  SECTION("the first retransmission is due after 200 ms") {
    harness.now += milliseconds(199);
    CHECK(harness.take() == 1);
    CHECK(harness.take() == 2);
    CHECK(harness.take() == 3);
    harness.add(4, 0);
    harness.now += milliseconds(200);
    CHECK(harness.take() == 0);
  }
  SECTION("the second retransmission is due 400 ms after the first") {
    harness.now += milliseconds(400);
    CHECK(harness.take() == 3);
    CHECK(harness.backlog.counters().expired == 2);
  }
  SECTION("the client gives up 800 ms after the second retransmission") {
    harness.now += milliseconds(800);
    CHECK(harness.take() == 0);
    CHECK(harness.backlog.counters().expired == 3);
  }
}

TEST_CASE("a retransmission is merged into the queued opening", "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1, 0);
  harness.add(2, 0);
  harness.now += milliseconds(190);
  harness.add(1, 1);
  CHECK(harness.backlog.size() == 2);
  harness.now += milliseconds(390);
  SECTION("it stays useful, and no backend was asked yet") {
    const auto taken = harness.backlog.take(harness.now);
    REQUIRE(taken);
    CHECK(taken->flow.low == 1);
    CHECK(taken->bytes == std::vector<std::uint8_t>{0});
    CHECK(taken->hasAllTransmissions());
  }
  SECTION("if another node received a transmission, a backend may have been asked") {
    OpeningHarness other;
    other.add(1, 0);
    other.add(1, 2);
    const auto taken = other.backlog.take(other.now);
    REQUIRE(taken);
    CHECK(taken->bytes == std::vector<std::uint8_t>{2});
    CHECK_FALSE(taken->hasAllTransmissions());
  }
}

TEST_CASE("a retransmission sent before a response could arrive is not served again",
          "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1, 0);
  CHECK(harness.take() == 1);
  harness.now += milliseconds(49);
  harness.add(1, 1);
  CHECK(harness.take() == 0);
  SECTION("a later retransmission is served") {
    harness.now += milliseconds(1);
    harness.add(1, 1);
    CHECK(harness.take() == 1);
  }
  SECTION("a new opening from the same port is served") {
    harness.add(1, 0);
    CHECK(harness.take() == 1);
  }
}

TEST_CASE("an opening queued for over 100 ms may be open through another node",
          "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1);
  const auto taken = harness.backlog.take(harness.now);
  REQUIRE(taken);
  CHECK_FALSE(harness.backlog.mayBeOpen(*taken, harness.now + milliseconds(100)));
  CHECK(harness.backlog.mayBeOpen(*taken, harness.now + milliseconds(101)));
}

TEST_CASE("a flow that its client aborts is not opened", "[opening_backlog]") {
  OpeningHarness harness;
  harness.add(1);
  harness.add(2);
  harness.backlog.onAbandoned({0, 1});
  CHECK(harness.take() == 2);
  CHECK(harness.take() == 0);
  CHECK(harness.backlog.counters().abandoned == 1);
}

TEST_CASE("the backlog is bounded and evicts the oldest openings", "[opening_backlog]") {
  OpeningHarness harness;
  for (std::uint64_t flow = 1; flow <= 600; ++flow) {
    harness.add(flow);
  }
  CHECK(harness.backlog.size() == 512);
  CHECK(harness.backlog.counters().evicted == 88);
  CHECK(harness.take() == 89);
}

TEST_CASE("only openings that no backend can have received are rejected", "[opening_backlog]") {
  OpeningHarness harness(true);
  SECTION("nothing is rejected if rejections are off") {
    OpeningHarness other;
    other.add(1);
    other.now += milliseconds(60);
    CHECK_FALSE(other.backlog.takeForRejection(other.now));
  }
  SECTION("a first transmission is rejected between 50 and 100 ms") {
    harness.add(1);
    harness.now += milliseconds(49);
    CHECK_FALSE(harness.backlog.takeForRejection(harness.now));
    harness.now += milliseconds(1);
    CHECK(harness.backlog.takeForRejection(harness.now).has_value());
  }
  SECTION("an opening that may have arrived more than 100 ms ago is not rejected") {
    harness.add(1);
    harness.now += milliseconds(91);
    CHECK_FALSE(harness.backlog.takeForRejection(harness.now));
    CHECK(harness.take() == 1);
  }
  SECTION("a retransmission is not rejected") {
    harness.add(1, 1);
    harness.now += milliseconds(60);
    CHECK_FALSE(harness.backlog.takeForRejection(harness.now));
  }
}

}  // namespace
}  // namespace lugfork
