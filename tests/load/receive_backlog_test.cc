#include "load/receive_backlog.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

struct BacklogHarness {
  /** Reads a batch in each step for the given duration. */
  void read(Duration span, Duration step, std::size_t datagrams, bool is_empty) {
    for (Duration elapsed{}; elapsed < span; elapsed += step) {
      now += step;
      backlog.onBatch({datagrams, is_empty}, now);
    }
  }

  MonotonicTime now{seconds(1000)};
  ReceiveBacklog backlog{ReceiveBacklogSettings(), now};
};

TEST_CASE("a socket that is repeatedly found empty is not behind", "[receive_backlog]") {
  BacklogHarness harness;
  harness.read(seconds(1), milliseconds(20), 5, true);
  CHECK_FALSE(harness.backlog.isBehind());
  CHECK(harness.backlog.queuedFor(harness.now) == Duration::zero());
  SECTION("a burst shorter than 100 ms does not put it behind") {
    harness.read(milliseconds(90), milliseconds(10), 32, false);
    CHECK_FALSE(harness.backlog.isBehind());
    harness.read(milliseconds(10), milliseconds(10), 10, true);
    CHECK_FALSE(harness.backlog.isBehind());
    CHECK_FALSE(harness.backlog.evidenceIsStale(harness.now));
  }
  SECTION("a period without datagrams does not put it behind") {
    harness.now += seconds(60);
    harness.read(milliseconds(10), milliseconds(10), 1, false);
    CHECK_FALSE(harness.backlog.isBehind());
    CHECK(harness.backlog.pauses() == 0);
  }
}

TEST_CASE("a socket that is not empty for 100 ms is behind until it is empty",
          "[receive_backlog]") {
  BacklogHarness harness;
  harness.read(milliseconds(110), milliseconds(10), 32, false);
  CHECK(harness.backlog.isBehind());
  CHECK(harness.backlog.timesBehind() == 1);
  CHECK(harness.backlog.queuedFor(harness.now) == milliseconds(100));
  CHECK(harness.backlog.delay(harness.now) == milliseconds(100));
  harness.read(seconds(2), milliseconds(10), 32, false);
  CHECK(harness.backlog.delay(harness.now) == milliseconds(250));
  CHECK(harness.backlog.evidenceIsStale(harness.now));
  harness.read(milliseconds(10), milliseconds(10), 3, true);
  CHECK_FALSE(harness.backlog.isBehind());
  // Retransmissions that arrive now were sent while this node was behind.
  CHECK(harness.backlog.evidenceIsStale(harness.now + milliseconds(199)));
  CHECK_FALSE(harness.backlog.evidenceIsStale(harness.now + milliseconds(200)));
}

TEST_CASE("the time when the socket was last empty bounds the arrival of a datagram",
          "[receive_backlog]") {
  BacklogHarness harness;
  harness.read(milliseconds(10), milliseconds(10), 1, true);
  const MonotonicTime empty_at = harness.now;
  CHECK(harness.backlog.queuedSince(harness.now) == empty_at);
  harness.read(milliseconds(50), milliseconds(10), 32, false);
  CHECK(harness.backlog.lastEmptyAt() == empty_at);
  CHECK(harness.backlog.queuedSince(harness.now) == empty_at + milliseconds(10));
  harness.read(milliseconds(10), milliseconds(10), 1, true);
  CHECK(harness.backlog.lastEmptyAt() == empty_at + milliseconds(60));
  // A single datagram after a pause does not indicate whether more arrived after it.
  harness.now += milliseconds(10);
  harness.backlog.onBatch({1, true, false}, harness.now);
  CHECK(harness.backlog.lastEmptyAt() == empty_at + milliseconds(60));
  CHECK(harness.backlog.queuedSince(harness.now) == harness.now);
}

TEST_CASE("evidence is stale for 200 ms after packets waited for the first view",
          "[receive_backlog]") {
  BacklogHarness harness;
  CHECK_FALSE(harness.backlog.evidenceIsStale(harness.now));
  harness.backlog.onDelayed(harness.now);
  CHECK(harness.backlog.evidenceIsStale(harness.now + milliseconds(199)));
  CHECK_FALSE(harness.backlog.evidenceIsStale(harness.now + milliseconds(200)));
}

TEST_CASE("the socket's capacity is what the node handles in 250 ms", "[receive_backlog]") {
  BacklogHarness harness;
  SECTION("a node with little CPU") {
    harness.read(seconds(1), milliseconds(10), 14, false);
    CHECK(harness.backlog.socketDatagrams() == 350);
  }
  SECTION("the capacity of a node with a whole core is bounded") {
    harness.read(seconds(1), milliseconds(1), 100, false);
    CHECK(harness.backlog.socketDatagrams() == 8192);
  }
  SECTION("a node that hardly runs keeps capacity for a burst") {
    harness.read(seconds(1), milliseconds(50), 2, false);
    CHECK(harness.backlog.socketDatagrams() == 256);
  }
}

TEST_CASE("a pause of the process is detected, and the rate measured across it is discarded",
          "[receive_backlog]") {
  BacklogHarness harness;
  harness.read(milliseconds(40), milliseconds(10), 32, false);
  harness.now += seconds(2);
  harness.read(milliseconds(10), milliseconds(10), 32, false);
  CHECK(harness.backlog.pauses() == 1);
  CHECK(harness.backlog.isBehind());
  CHECK(harness.backlog.socketDatagrams() == 1024);
}

}  // namespace
}  // namespace lugfork
