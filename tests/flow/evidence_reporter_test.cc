#include "flow/evidence_reporter.h"

#include <catch2/catch.hpp>

#include "flow/evidence_fixture.h"

namespace lugfork {
namespace {

struct Harness {
  ManualTimeSource time;
  EvidenceNode node{time};
};

TEST_CASE("balancer that gets all answers sends no report for an hour", "[evidence_reporter]") {
  Harness harness;
  std::size_t reports = 0;
  for (int second = 0; second < 3600; ++second) {
    for (std::uint32_t backend = 1; backend <= 30; ++backend) {
      harness.node.local.onOpening(BackendId(backend));
      harness.time.elapsed += milliseconds(30);
      harness.node.recordAnswer(backend);
    }
    harness.time.elapsed += milliseconds(100);
    harness.node.shared.refresh();
    reports += harness.node.reporter.next() ? 1 : 0;
    CHECK(harness.node.shared.suspectsByPeers() == 0);
  }
  CHECK(reports == 0);
}

TEST_CASE("silent backend is reported once, and again when its observation changes",
          "[evidence_reporter]") {
  Harness harness;
  harness.node.recordAnswer(5);
  harness.time.elapsed += milliseconds(400);
  harness.node.recordUnanswered(5, 1, 1);
  harness.time.elapsed += milliseconds(50);
  const auto first = harness.node.reporter.next();
  REQUIRE(first);
  CHECK(first->zone == "lac");
  CHECK(first->silent == std::vector<BackendSilence>{{BackendId(5), 1, 1, 50, 450}});
  CHECK(first->backends_in_use == 1);
  CHECK(first->silent_backends == 1);
  CHECK_FALSE(harness.node.reporter.next());
  harness.node.recordUnanswered(5, 2);
  CHECK(harness.node.reporter.next()->silent.at(0).flows == 2);
  harness.node.recordUnanswered(5, 2);
  CHECK_FALSE(harness.node.reporter.next());
  harness.time.elapsed += milliseconds(500);
  harness.node.recordUnanswered(5, 2);
  CHECK(harness.node.reporter.next());
}

TEST_CASE("unanswered opening is reported", "[evidence_reporter]") {
  Harness harness;
  harness.node.local.onOpening(BackendId(5));
  harness.time.elapsed += milliseconds(100);
  CHECK_FALSE(harness.node.reporter.next());
  harness.time.elapsed += milliseconds(50);
  const auto report = harness.node.reporter.next();
  REQUIRE(report);
  CHECK(report->silent == std::vector<BackendSilence>{{BackendId(5), 0, 0, 150, kNeverMs}});
}

TEST_CASE("backend that answers again is reported", "[evidence_reporter]") {
  Harness harness;
  SECTION("reported by this balancer before") {
    harness.node.recordUnanswered(5);
    CHECK(harness.node.reporter.next());
  }
  SECTION("reported by peers before") {
    harness.node.reportSilent({5}, 1);
  }
  harness.time.elapsed += milliseconds(100);
  harness.node.recordAnswer(5);
  harness.time.elapsed += milliseconds(20);
  harness.node.shared.refresh();
  const auto report = harness.node.reporter.next();
  REQUIRE(report);
  CHECK(report->silent.empty());
  CHECK(report->alive == std::vector<BackendLiveness>{{BackendId(5), 20}});
  CHECK_FALSE(harness.node.reporter.next());
}

TEST_CASE("balancers object to a zone being suspect at most twice a second in total",
          "[evidence_reporter]") {
  Harness harness;
  harness.node.reportSilent({11, 12, 13}, 1);
  harness.node.recordAnswer(20);
  harness.time.elapsed += milliseconds(10);
  const auto report = harness.node.reporter.next();
  REQUIRE(report);
  CHECK(report->alive == std::vector<BackendLiveness>{{BackendId(20), 10}});
  harness.time.elapsed += milliseconds(100);
  harness.node.recordAnswer(19);
  CHECK_FALSE(harness.node.reporter.next());
  harness.time.elapsed += milliseconds(450);
  SECTION("again after the minimum interval") {
    harness.node.recordAnswer(20);
    CHECK(harness.node.reporter.next());
  }
  SECTION("not if a peer has just objected") {
    harness.node.reportProgress(18, 100);
    harness.node.recordAnswer(20);
    CHECK_FALSE(harness.node.reporter.next());
  }
  SECTION("not without a recent answer") {
    CHECK_FALSE(harness.node.reporter.next());
  }
}

TEST_CASE("report counts the silent backends of the local zone", "[evidence_reporter]") {
  Harness harness;
  for (const std::uint32_t backend : {1U, 2U, 11U, 12U}) {
    harness.node.recordAnswer(backend);
  }
  harness.node.recordUnanswered(2);
  harness.node.recordUnanswered(12);
  harness.node.recordUnanswered(13);
  const auto report = harness.node.reporter.next();
  REQUIRE(report);
  CHECK(report->backends_in_use == 2);
  CHECK(report->silent_backends == 1);
}

}  // namespace
}  // namespace lugfork
