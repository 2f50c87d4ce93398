#include "flow/shared_evidence.h"

#include <catch2/catch.hpp>

#include "flow/evidence_fixture.h"

namespace lugfork {
namespace {

struct Harness {
  void advance(int duration_ms) {
    time.elapsed += milliseconds(duration_ms);
    node.shared.refresh();
  }

  /** Advances the time while a backend of the local zone answers. */
  void advanceWithAnswers(int duration_ms) {
    for (int passed = 0; passed < duration_ms; passed += 50) {
      time.elapsed += milliseconds(50);
      node.recordAnswer(1);
      node.shared.refresh();
    }
  }

  bool isDead(std::uint32_t backend, std::uint16_t retransmissions = 2) const {
    return node.shared.deathEvidence(BackendId(backend), retransmissions).has_value();
  }

  ManualTimeSource time;
  EvidenceNode node{time};
};

TEST_CASE("backend reported silent by two peers is suspect", "[shared_evidence]") {
  Harness harness;
  harness.node.reportSilent({5}, 2);
  CHECK(harness.node.isSuspect(5));
  CHECK_FALSE(harness.node.isSuspect(6));
}

TEST_CASE("reports of a single peer make no backend suspect", "[shared_evidence]") {
  Harness harness;
  harness.node.reportSilent({5, 6, 7}, 1, 200, 9);
  CHECK_FALSE(harness.node.isSuspect(5));
  harness.advance(600);
  CHECK_FALSE(harness.isDead(5));
}

TEST_CASE("reports of peers exclude at most half of a service", "[shared_evidence]") {
  Harness harness;
  std::vector<std::uint32_t> backends;
  for (std::uint32_t backend = 1; backend <= 15; ++backend) {
    backends.push_back(backend);
  }
  harness.node.reportSilent(backends, 9);
  CHECK(harness.node.isSuspect(1));
  harness.node.reportSilent({16}, 9);
  for (std::uint32_t backend = 1; backend <= 30; ++backend) {
    CHECK_FALSE(harness.node.isSuspect(backend));
  }
}

TEST_CASE("reported silence expires", "[shared_evidence]") {
  Harness harness;
  harness.node.reportSilent({5}, 3);
  harness.advance(1300);
  CHECK(harness.node.isSuspect(5));
  harness.advance(200);
  CHECK_FALSE(harness.node.isSuspect(5));
  CHECK(harness.node.shared.reportedSilence().empty());
}

TEST_CASE("digest with an expired attempt has no effect", "[shared_evidence]") {
  Harness harness;
  harness.node.reportSilent({5}, 3, 5, 5, 1600);
  CHECK_FALSE(harness.node.isSuspect(5));
}

TEST_CASE("answer to any balancer ends older evidence but not newer", "[shared_evidence]") {
  Harness harness;
  harness.node.reportSilent({5}, 3, 1, 0, 100);
  SECTION("reported, later than the last attempt") {
    harness.node.reportProgress(5, 50);
    CHECK_FALSE(harness.node.isSuspect(5));
    SECTION("then silent again for two reporters") {
      harness.advance(300);
      harness.node.reportSilent({5}, 2);
      CHECK(harness.node.isSuspect(5));
    }
    SECTION("then silent for one reporter: earlier reporters no longer count") {
      harness.advance(300);
      harness.node.reportSilent({5}, 1);
      CHECK_FALSE(harness.node.isSuspect(5));
    }
  }
  SECTION("reported, earlier than the last attempt") {
    harness.node.reportProgress(5, 150);
    CHECK(harness.node.isSuspect(5));
  }
  SECTION("received by this balancer") {
    harness.node.recordAnswer(5);
    harness.advance(0);
    CHECK_FALSE(harness.node.isSuspect(5));
  }
}

TEST_CASE("reports of unknown backends are ignored", "[shared_evidence]") {
  Harness harness;
  harness.node.reportSilent({99}, 3);
  harness.node.reportProgress(98, 10);
  CHECK_FALSE(harness.node.isSuspect(99));
  CHECK(harness.node.shared.reportedSilence().empty());
}

TEST_CASE("zone with no answering backend is unreachable as a whole", "[shared_evidence]") {
  Harness harness;
  harness.node.recordAnswer(12);
  harness.advanceWithAnswers(300);
  harness.node.recordUnanswered(11);
  harness.node.reportSilent({11, 12, 13}, 1);
  SECTION("while another zone answers") {
    CHECK(harness.node.shared.isInUnreachableZone(BackendId(20)));
    CHECK_FALSE(harness.node.shared.isInUnreachableZone(BackendId(1)));
    CHECK_FALSE(harness.node.shared.isInUnreachableZone(BackendId(30)));
    SECTION("until one of its backends answers this balancer") {
      harness.node.recordAnswer(20);
      harness.advance(0);
      CHECK_FALSE(harness.node.shared.isInUnreachableZone(BackendId(20)));
    }
    SECTION("until a peer objects") {
      harness.node.reportProgress(20, 700);
      CHECK_FALSE(harness.node.shared.isInUnreachableZone(BackendId(20)));
    }
    SECTION("until the reports expire") {
      harness.advanceWithAnswers(1500);
      CHECK_FALSE(harness.node.shared.isInUnreachableZone(BackendId(20)));
    }
  }
  SECTION("not while no zone answers: then this balancer is isolated") {
    harness.advance(550);
    CHECK_FALSE(harness.node.shared.isInUnreachableZone(BackendId(20)));
  }
}

TEST_CASE("zone is not marked unreachable by reports or local observations alone",
          "[shared_evidence]") {
  Harness harness;
  harness.advanceWithAnswers(300);
  SECTION("reports of peers only") {
    harness.node.reportSilent({11, 12, 13, 14}, 9);
  }
  SECTION("local observations only, returned in a digest") {
    for (const std::uint32_t backend : {11U, 12U, 13U}) {
      harness.node.recordUnanswered(backend);
    }
    harness.node.reportSilent({11, 12, 13}, 1);
  }
  SECTION("two backends are too few") {
    harness.node.recordUnanswered(11);
    harness.node.reportSilent({11, 12}, 5);
  }
  CHECK_FALSE(harness.node.shared.isInUnreachableZone(BackendId(20)));
}

TEST_CASE("silence on several flows of several balancers is evidence of a dead backend",
          "[shared_evidence]") {
  Harness harness;
  harness.node.recordAnswer(5);
  harness.advance(600);
  harness.node.reportSilent({5}, 2, 3, 2);
  CHECK_FALSE(harness.isDead(5));
  harness.advance(250);
  CHECK(harness.isDead(5));
  SECTION("not for a flow without retransmissions") {
    CHECK_FALSE(harness.isDead(5, 0));
  }
  SECTION("not once it has answered any balancer") {
    harness.node.reportProgress(5, 100);
    CHECK_FALSE(harness.isDead(5));
  }
  SECTION("not if live backends answered peers after as many retransmissions") {
    harness.node.shared.onDigest({"lac", 2, {}, {}});
    CHECK_FALSE(harness.isDead(5));
  }
}

TEST_CASE("insufficient reports are no evidence of a dead backend", "[shared_evidence]") {
  Harness harness;
  harness.node.recordAnswer(5);
  SECTION("silent for less than half a second") {
    harness.advance(100);
    harness.node.reportSilent({5}, 9, 9, 9, 10);
    harness.advance(300);
  }
  SECTION("two flows") {
    harness.advance(600);
    harness.node.reportSilent({5}, 2, 2, 9);
    harness.advance(300);
  }
  SECTION("flows with a single retransmission") {
    harness.advance(600);
    harness.node.reportSilent({5}, 3, 9, 1);
    harness.advance(300);
    CHECK_FALSE(harness.isDead(5, 1));
    return;
  }
  SECTION("one reporter") {
    harness.advance(600);
    harness.node.reportSilent({5}, 1, 9, 9);
    harness.advance(300);
  }
  CHECK_FALSE(harness.isDead(5));
}

TEST_CASE("flow with a single retransmission is not reset because of other flows",
          "[shared_evidence]") {
  Harness harness;
  harness.node.recordAnswer(5);
  harness.advance(600);
  harness.node.reportSilent({5}, 3, 9, 4);
  harness.advance(300);
  CHECK_FALSE(harness.isDead(5, 1));
  CHECK(harness.isDead(5, 2));
}

TEST_CASE("balancer that was late waits for objections before it resets a flow",
          "[shared_evidence]") {
  Harness harness;
  harness.node.recordAnswer(5);
  harness.advance(600);
  harness.node.reportSilent({5}, 3, 9, 4);
  harness.advance(600);
  harness.node.shared.onBehind();
  CHECK_FALSE(harness.isDead(5));
  harness.advance(300);
  CHECK_FALSE(harness.isDead(5));
  harness.advance(200);
  CHECK(harness.isDead(5));
}

TEST_CASE("many false suspicions reported by peers are no evidence of a dead backend",
          "[shared_evidence]") {
  Harness harness;
  harness.node.recordAnswer(5);
  harness.advance(300);
  const std::uint32_t answering = GENERATE(5, 6);
  for (std::uint32_t backend = 21; backend < 21 + answering; ++backend) {
    harness.node.reportSilent({backend}, 2, 1, 1, 100);
    harness.node.reportProgress(backend, 50);
  }
  harness.advance(300);
  harness.node.reportSilent({5}, 2, 3, 2);
  harness.advance(300);
  CHECK(harness.isDead(5) == (answering == 5));
  SECTION("until the false suspicions expire") {
    harness.advance(4600);
    harness.node.reportSilent({5}, 2, 3, 2);
    harness.advance(300);
    CHECK(harness.isDead(5));
  }
}

TEST_CASE("reports are no evidence of a dead backend while many backends look silent locally",
          "[shared_evidence]") {
  Harness harness;
  for (std::uint32_t backend = 1; backend <= 10; ++backend) {
    harness.node.recordAnswer(backend);
  }
  harness.advance(500);
  const std::uint32_t silent = GENERATE(3, 4);
  for (std::uint32_t backend = 2; backend < 2 + silent; ++backend) {
    harness.node.recordUnanswered(backend);
  }
  harness.node.reportSilent({5}, 2, 3, 2);
  harness.advance(300);
  CHECK(harness.isDead(5) == (silent == 3));
}

/** Pressure on all services. */
struct FakePressure : ServicePressure {
  bool isUnderPressure(ServiceId) const override { return true; }
};

TEST_CASE("under pressure reports reset no flow, and only long silence makes a backend suspect",
          "[shared_evidence]") {
  Harness harness;
  const FakePressure pressure;
  harness.node.local.setPressure(&pressure);
  harness.node.recordAnswer(5);
  harness.advance(200);
  harness.node.reportSilent({5}, 2, 3, 2);
  CHECK_FALSE(harness.node.isSuspect(5));
  harness.advance(300);
  CHECK(harness.node.isSuspect(5));
  harness.advance(300);
  CHECK_FALSE(harness.isDead(5));
  harness.node.local.setPressure(nullptr);
  CHECK(harness.isDead(5));
}

TEST_CASE("under pressure no open flow to an unreachable zone is reset", "[shared_evidence]") {
  Harness harness;
  const FakePressure pressure;
  harness.node.local.setPressure(&pressure);
  harness.node.recordAnswer(11);
  harness.advanceWithAnswers(300);
  harness.node.recordUnanswered(11);
  harness.node.recordUnanswered(11, 2);
  harness.advanceWithAnswers(300);
  harness.node.reportSilent({11, 12, 13}, 2, 2);
  harness.advanceWithAnswers(250);
  CHECK(harness.node.shared.isInUnreachableZone(BackendId(20)));
  CHECK_FALSE(harness.isDead(20));
}

TEST_CASE("digest with fewer survived retransmissions does not lower the maximum",
          "[shared_evidence]") {
  Harness harness;
  EvidenceDigest many;
  many.survived_retransmissions = 4;
  harness.node.shared.onDigest(many);
  harness.node.reportSilent({5}, 2, 3, 2);
  EvidenceDigest few;
  few.survived_retransmissions = 1;
  harness.node.shared.onDigest(few);
  harness.advance(600);
  CHECK_FALSE(harness.isDead(5, 4));
  CHECK(harness.isDead(5, 5));
}

TEST_CASE("unanswered opening is observed but does not count as a silent flow",
          "[shared_evidence]") {
  Harness harness;
  harness.node.local.onOpening(BackendId(5));
  harness.advance(200);
  const auto seen = harness.node.local.observations();
  REQUIRE(seen.size() == 1);
  CHECK(seen.front().backend == BackendId(5));
  CHECK(seen.front().flows == 0);
}

TEST_CASE("open flow to an unreachable zone is reset after its own retransmissions",
          "[shared_evidence]") {
  Harness harness;
  harness.node.recordAnswer(11);
  harness.advanceWithAnswers(300);
  harness.node.recordUnanswered(11);
  harness.node.reportSilent({11, 12, 13}, 2, 2);
  CHECK_FALSE(harness.isDead(20));
  harness.advanceWithAnswers(250);
  CHECK(harness.isDead(20));
  CHECK_FALSE(harness.isDead(20, 1));
  CHECK_FALSE(harness.isDead(30));
  const auto evidence = harness.node.shared.deathEvidence(BackendId(20), 2);
  CHECK(evidence->is_whole_zone);
  CHECK(evidence->reporters == 2);
  CHECK(evidence->flows == 6);
  CHECK(evidence->silent_for >= milliseconds(500));
}

}  // namespace
}  // namespace lugfork
