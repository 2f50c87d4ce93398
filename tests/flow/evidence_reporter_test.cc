#include "flow/evidence_reporter.h"

#include <catch2/catch.hpp>

#include "flow/evidence_fixture.h"

namespace lugfork {
namespace {

struct Harness {
  ManualTimeSource time;
  EvidenceNode node{time};
};

TEST_CASE("a node to which all servers answer reports nothing for an hour", "[evidence_reporter]") {
  Harness harness;
  std::size_t reports = 0;
  for (int second = 0; second < 3600; ++second) {
    for (std::uint32_t server = 1; server <= 30; ++server) {
      harness.node.own.onOpening(BackendId(server));
      harness.time.elapsed += milliseconds(30);
      harness.node.isAnswered(server);
    }
    harness.time.elapsed += milliseconds(100);
    harness.node.shared.refresh();
    reports += harness.node.reporter.next() ? 1 : 0;
    CHECK(harness.node.shared.suspectsByOthers() == 0);
  }
  CHECK(reports == 0);
}

TEST_CASE("a silent server is reported once, and again when more is known of it",
          "[evidence_reporter]") {
  Harness harness;
  harness.node.isAnswered(5);
  harness.time.elapsed += milliseconds(400);
  harness.node.loses(5, 1, 1);
  harness.time.elapsed += milliseconds(50);
  const auto first = harness.node.reporter.next();
  REQUIRE(first);
  CHECK(first->zone == "lac");
  CHECK(first->silent == std::vector<BackendSilence>{{BackendId(5), 1, 1, 50, 450}});
  CHECK(first->backends_in_use == 1);
  CHECK(first->silent_backends == 1);
  CHECK_FALSE(harness.node.reporter.next());
  harness.node.loses(5, 2);
  CHECK(harness.node.reporter.next()->silent.at(0).flows == 2);
  harness.node.loses(5, 2);
  CHECK_FALSE(harness.node.reporter.next());
  harness.time.elapsed += milliseconds(500);
  harness.node.loses(5, 2);
  CHECK(harness.node.reporter.next());
}

TEST_CASE("an unanswered opening is reported", "[evidence_reporter]") {
  Harness harness;
  harness.node.own.onOpening(BackendId(5));
  harness.time.elapsed += milliseconds(100);
  CHECK_FALSE(harness.node.reporter.next());
  harness.time.elapsed += milliseconds(50);
  const auto report = harness.node.reporter.next();
  REQUIRE(report);
  CHECK(report->silent == std::vector<BackendSilence>{{BackendId(5), 0, 0, 150, kNeverMs}});
}

TEST_CASE("a server that answers again is reported", "[evidence_reporter]") {
  Harness harness;
  SECTION("that this node reported") {
    harness.node.loses(5);
    CHECK(harness.node.reporter.next());
  }
  SECTION("that others reported") {
    harness.node.isTold({5}, 1);
  }
  harness.time.elapsed += milliseconds(100);
  harness.node.isAnswered(5);
  harness.time.elapsed += milliseconds(20);
  harness.node.shared.refresh();
  const auto report = harness.node.reporter.next();
  REQUIRE(report);
  CHECK(report->silent.empty());
  CHECK(report->alive == std::vector<BackendLiveness>{{BackendId(5), 20}});
  CHECK_FALSE(harness.node.reporter.next());
}

TEST_CASE("a node that a doubted zone answers objects, twice a second at most, all together",
          "[evidence_reporter]") {
  Harness harness;
  harness.node.isTold({11, 12, 13}, 1);
  harness.node.isAnswered(20);
  harness.time.elapsed += milliseconds(10);
  const auto report = harness.node.reporter.next();
  REQUIRE(report);
  CHECK(report->alive == std::vector<BackendLiveness>{{BackendId(20), 10}});
  harness.time.elapsed += milliseconds(100);
  harness.node.isAnswered(19);
  CHECK_FALSE(harness.node.reporter.next());
  harness.time.elapsed += milliseconds(450);
  SECTION("again after a while") {
    harness.node.isAnswered(20);
    CHECK(harness.node.reporter.next());
  }
  SECTION("not where another has just objected") {
    harness.node.isToldLife(18, 100);
    harness.node.isAnswered(20);
    CHECK_FALSE(harness.node.reporter.next());
  }
  SECTION("not where nothing answered lately") {
    CHECK_FALSE(harness.node.reporter.next());
  }
}

TEST_CASE("a report counts the silent servers of the node's own zone", "[evidence_reporter]") {
  Harness harness;
  for (const std::uint32_t server : {1U, 2U, 11U, 12U}) {
    harness.node.isAnswered(server);
  }
  harness.node.loses(2);
  harness.node.loses(12);
  harness.node.loses(13);
  const auto report = harness.node.reporter.next();
  REQUIRE(report);
  CHECK(report->backends_in_use == 2);
  CHECK(report->silent_backends == 1);
}

}  // namespace
}  // namespace lugfork
