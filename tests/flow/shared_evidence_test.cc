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

  /** Lets time pass while servers of this node's own zone answer it. */
  void advanceAnswered(int duration_ms) {
    for (int passed = 0; passed < duration_ms; passed += 50) {
      time.elapsed += milliseconds(50);
      node.isAnswered(1);
      node.shared.refresh();
    }
  }

  bool isDead(std::uint32_t server, std::uint16_t repetitions = 2) const {
    return node.shared.deathOf(BackendId(server), repetitions).has_value();
  }

  ManualTimeSource time;
  EvidenceNode node{time};
};

TEST_CASE("a server that two others found silent is passed over", "[shared_evidence]") {
  Harness harness;
  harness.node.isTold({5}, 2);
  CHECK(harness.node.suspects(5));
  CHECK_FALSE(harness.node.suspects(6));
}

TEST_CASE("one reporter that lies, or is cut off, takes out nothing", "[shared_evidence]") {
  Harness harness;
  harness.node.isTold({5, 6, 7}, 1, 200, 9);
  CHECK_FALSE(harness.node.suspects(5));
  harness.advance(600);
  CHECK_FALSE(harness.isDead(5));
}

TEST_CASE("others' word never takes out more than half of a service", "[shared_evidence]") {
  Harness harness;
  std::vector<std::uint32_t> servers;
  for (std::uint32_t server = 1; server <= 15; ++server) {
    servers.push_back(server);
  }
  harness.node.isTold(servers, 9);
  CHECK(harness.node.suspects(1));
  harness.node.isTold({16}, 9);
  for (std::uint32_t server = 1; server <= 30; ++server) {
    CHECK_FALSE(harness.node.suspects(server));
  }
}

TEST_CASE("evidence ends by itself", "[shared_evidence]") {
  Harness harness;
  harness.node.isTold({5}, 3);
  harness.advance(1300);
  CHECK(harness.node.suspects(5));
  harness.advance(200);
  CHECK_FALSE(harness.node.suspects(5));
  CHECK(harness.node.shared.told().empty());
}

TEST_CASE("a digest that comes late tells nothing", "[shared_evidence]") {
  Harness harness;
  harness.node.isTold({5}, 3, 5, 5, 1600);
  CHECK_FALSE(harness.node.suspects(5));
}

TEST_CASE("an answer to anybody ends older evidence and not newer", "[shared_evidence]") {
  Harness harness;
  harness.node.isTold({5}, 3, 1, 0, 100);
  SECTION("told, later than the last attempt") {
    harness.node.isToldLife(5, 50);
    CHECK_FALSE(harness.node.suspects(5));
    SECTION("then silent again") {
      harness.advance(300);
      harness.node.isTold({5}, 2);
      CHECK(harness.node.suspects(5));
    }
    SECTION("then silent to one: what was counted before is over") {
      harness.advance(300);
      harness.node.isTold({5}, 1);
      CHECK_FALSE(harness.node.suspects(5));
    }
  }
  SECTION("told, earlier than the last attempt") {
    harness.node.isToldLife(5, 150);
    CHECK(harness.node.suspects(5));
  }
  SECTION("to this node itself") {
    harness.node.isAnswered(5);
    harness.advance(0);
    CHECK_FALSE(harness.node.suspects(5));
  }
}

TEST_CASE("servers that are not known are passed over", "[shared_evidence]") {
  Harness harness;
  harness.node.isTold({99}, 3);
  harness.node.isToldLife(98, 10);
  CHECK_FALSE(harness.node.suspects(99));
  CHECK(harness.node.shared.told().empty());
}

TEST_CASE("a zone none of whose servers answers is out of reach as a whole", "[shared_evidence]") {
  Harness harness;
  harness.node.isAnswered(12);
  harness.advanceAnswered(300);
  harness.node.loses(11);
  harness.node.isTold({11, 12, 13}, 1);
  SECTION("while another answers") {
    CHECK(harness.node.shared.isOutOfReach(BackendId(20)));
    CHECK_FALSE(harness.node.shared.isOutOfReach(BackendId(1)));
    CHECK_FALSE(harness.node.shared.isOutOfReach(BackendId(30)));
    SECTION("until it answers this node") {
      harness.node.isAnswered(20);
      harness.advance(0);
      CHECK_FALSE(harness.node.shared.isOutOfReach(BackendId(20)));
    }
    SECTION("until another objects") {
      harness.node.isToldLife(20, 700);
      CHECK_FALSE(harness.node.shared.isOutOfReach(BackendId(20)));
    }
    SECTION("until it ends by itself") {
      harness.advanceAnswered(1500);
      CHECK_FALSE(harness.node.shared.isOutOfReach(BackendId(20)));
    }
  }
  SECTION("but not while none answers: then this node is cut off") {
    harness.advance(550);
    CHECK_FALSE(harness.node.shared.isOutOfReach(BackendId(20)));
  }
}

TEST_CASE("a zone is not out of reach by others' word alone, nor by this node's",
          "[shared_evidence]") {
  Harness harness;
  harness.advanceAnswered(300);
  SECTION("others") {
    harness.node.isTold({11, 12, 13, 14}, 9);
  }
  SECTION("this node alone, whose own report comes back in a digest") {
    for (const std::uint32_t server : {11U, 12U, 13U}) {
      harness.node.loses(server);
    }
    harness.node.isTold({11, 12, 13}, 1);
  }
  SECTION("two servers are not enough") {
    harness.node.loses(11);
    harness.node.isTold({11, 12}, 5);
  }
  CHECK_FALSE(harness.node.shared.isOutOfReach(BackendId(20)));
}

TEST_CASE("an open flow's server is dead by several flows of several nodes", "[shared_evidence]") {
  Harness harness;
  harness.node.isAnswered(5);
  harness.advance(600);
  harness.node.isTold({5}, 2, 3, 2);
  CHECK_FALSE(harness.isDead(5));
  harness.advance(250);
  CHECK(harness.isDead(5));
  SECTION("but no flow is reset that does not repeat itself") {
    CHECK_FALSE(harness.isDead(5, 0));
  }
  SECTION("not once it has answered anybody") {
    harness.node.isToldLife(5, 100);
    CHECK_FALSE(harness.isDead(5));
  }
  SECTION("not where living servers answered others after as many repetitions") {
    harness.node.shared.onDigest({"lac", 2, {}, {}});
    CHECK_FALSE(harness.isDead(5));
  }
}

TEST_CASE("an open flow's server is not dead by too little", "[shared_evidence]") {
  Harness harness;
  harness.node.isAnswered(5);
  SECTION("silent for less than half a second") {
    harness.advance(100);
    harness.node.isTold({5}, 9, 9, 9, 10);
    harness.advance(300);
  }
  SECTION("two flows") {
    harness.advance(600);
    harness.node.isTold({5}, 2, 2, 9);
    harness.advance(300);
  }
  SECTION("flows that repeated themselves once") {
    harness.advance(600);
    harness.node.isTold({5}, 3, 9, 1);
    harness.advance(300);
    CHECK_FALSE(harness.isDead(5, 1));
    return;
  }
  SECTION("one reporter") {
    harness.advance(600);
    harness.node.isTold({5}, 1, 9, 9);
    harness.advance(300);
  }
  CHECK_FALSE(harness.isDead(5));
}

TEST_CASE("a flow that has repeated itself once is not reset for the repetitions of others",
          "[shared_evidence]") {
  Harness harness;
  harness.node.isAnswered(5);
  harness.advance(600);
  harness.node.isTold({5}, 3, 9, 4);
  harness.advance(300);
  CHECK_FALSE(harness.isDead(5, 1));
  CHECK(harness.isDead(5, 2));
}

TEST_CASE("a node that stood still lets others object before it resets a flow",
          "[shared_evidence]") {
  Harness harness;
  harness.node.isAnswered(5);
  harness.advance(600);
  harness.node.isTold({5}, 3, 9, 4);
  harness.advance(600);
  harness.node.shared.onBehind();
  CHECK_FALSE(harness.isDead(5));
  harness.advance(300);
  CHECK_FALSE(harness.isDead(5));
  harness.advance(200);
  CHECK(harness.isDead(5));
}

TEST_CASE("where servers that others reported silent answer, none of their service is dead",
          "[shared_evidence]") {
  Harness harness;
  harness.node.isAnswered(5);
  harness.advance(300);
  const std::uint32_t answering = GENERATE(5, 6);
  for (std::uint32_t server = 21; server < 21 + answering; ++server) {
    harness.node.isTold({server}, 2, 1, 1, 100);
    harness.node.isToldLife(server, 50);
  }
  harness.advance(300);
  harness.node.isTold({5}, 2, 3, 2);
  harness.advance(300);
  CHECK(harness.isDead(5) == (answering == 5));
  SECTION("until that is long past") {
    harness.advance(4600);
    harness.node.isTold({5}, 2, 3, 2);
    harness.advance(300);
    CHECK(harness.isDead(5));
  }
}

TEST_CASE("a node to which many servers are silent takes none for dead by others' word",
          "[shared_evidence]") {
  Harness harness;
  for (std::uint32_t server = 1; server <= 10; ++server) {
    harness.node.isAnswered(server);
  }
  harness.advance(500);
  const std::uint32_t silent = GENERATE(3, 4);
  for (std::uint32_t server = 2; server < 2 + silent; ++server) {
    harness.node.loses(server);
  }
  harness.node.isTold({5}, 2, 3, 2);
  harness.advance(300);
  CHECK(harness.isDead(5) == (silent == 3));
}

/** Servers of one service that queue requests. */
struct PressureFake : ServicePressure {
  bool isUnderPressure(ServiceId) const override { return true; }
};

TEST_CASE("under pressure others' word resets no flow, and passes over by lasting silence only",
          "[shared_evidence]") {
  Harness harness;
  const PressureFake pressure;
  harness.node.own.setPressure(&pressure);
  harness.node.isAnswered(5);
  harness.advance(200);
  harness.node.isTold({5}, 2, 3, 2);
  CHECK_FALSE(harness.node.suspects(5));
  harness.advance(300);
  CHECK(harness.node.suspects(5));
  harness.advance(300);
  CHECK_FALSE(harness.isDead(5));
  harness.node.own.setPressure(nullptr);
  CHECK(harness.isDead(5));
}

TEST_CASE("under pressure no open flow is reset for a zone out of reach", "[shared_evidence]") {
  Harness harness;
  const PressureFake pressure;
  harness.node.own.setPressure(&pressure);
  harness.node.isAnswered(11);
  harness.advanceAnswered(300);
  harness.node.loses(11);
  harness.node.loses(11, 2);
  harness.advanceAnswered(300);
  harness.node.isTold({11, 12, 13}, 2, 2);
  harness.advanceAnswered(250);
  CHECK(harness.node.shared.isOutOfReach(BackendId(20)));
  CHECK_FALSE(harness.isDead(20));
}

TEST_CASE("a digest that tells of fewer survived repetitions takes back no others' word",
          "[shared_evidence]") {
  Harness harness;
  EvidenceDigest many;
  many.survived_retransmissions = 4;
  harness.node.shared.onDigest(many);
  harness.node.isTold({5}, 2, 3, 2);
  EvidenceDigest few;
  few.survived_retransmissions = 1;
  harness.node.shared.onDigest(few);
  harness.advance(600);
  CHECK_FALSE(harness.isDead(5, 4));
  CHECK(harness.isDead(5, 5));
}

TEST_CASE("an opening without an answer makes a server suspect, but counts as no flow that repeats",
          "[shared_evidence]") {
  Harness harness;
  harness.node.own.onOpening(BackendId(5));
  harness.advance(200);
  const auto seen = harness.node.own.observations();
  REQUIRE(seen.size() == 1);
  CHECK(seen.front().backend == BackendId(5));
  CHECK(seen.front().flows == 0);
}

TEST_CASE("open flows to a zone out of reach are reset by their own repetitions",
          "[shared_evidence]") {
  Harness harness;
  harness.node.isAnswered(11);
  harness.advanceAnswered(300);
  harness.node.loses(11);
  harness.node.isTold({11, 12, 13}, 2, 2);
  CHECK_FALSE(harness.isDead(20));
  harness.advanceAnswered(250);
  CHECK(harness.isDead(20));
  CHECK_FALSE(harness.isDead(20, 1));
  CHECK_FALSE(harness.isDead(30));
  const auto evidence = harness.node.shared.deathOf(BackendId(20), 2);
  CHECK(evidence->is_whole_zone);
  CHECK(evidence->reporters == 2);
  CHECK(evidence->flows == 6);
  CHECK(evidence->silent_for >= milliseconds(500));
}

}  // namespace
}  // namespace lugfork
