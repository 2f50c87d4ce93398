#include "flow/silence_detector.h"

#include <catch2/catch.hpp>

#include "flow/evidence_fixture.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kBackends = 20;
const BackendId kSilent{20};

struct FakePressure : ServicePressure {
  bool isUnderPressure(ServiceId service) const override {
    return service == service_under_pressure;
  }
  ServiceId service_under_pressure;
};

/** Twenty back ends, the first ten of one service. */
struct Harness {
  Harness() {
    detector.setServiceLookup([this](BackendId backend) {
      return ServiceId(backend.value() <= last_of_first_service ? 1 : 2);
    });
  }

  void recordAnswers(std::uint32_t first, std::uint32_t last) {
    for (std::uint32_t id = first; id <= last; ++id) {
      detector.onProgress(BackendId(id));
    }
  }

  /** Back ends answer openings after 150 ms: they look silent for 50 ms. */
  void recordLateAnswers(std::uint32_t first, std::uint32_t last) {
    for (std::uint32_t id = first; id <= last; ++id) {
      detector.onOpening(BackendId(id));
    }
    time.elapsed += milliseconds(150);
    recordAnswers(first, last);
  }

  void recordUnanswered(BackendId backend, std::uint16_t port, std::uint16_t retransmissions) {
    detector.onRetransmission(backend, flowIdOf({kCaller.address, port}, kListen), retransmissions);
  }

  /** Three flows repeat themselves twice, 200 and 600 ms after the last answer. */
  void recordThreeSilentFlows(BackendId backend) {
    for (const std::uint16_t retransmission : {std::uint16_t{1}, std::uint16_t{2}}) {
      time.elapsed += milliseconds(retransmission == 1 ? 200 : 400);
      for (std::uint16_t port = 1; port <= 3; ++port) {
        recordUnanswered(backend, port, retransmission);
      }
    }
  }

  ManualTimeSource time;
  NullEventLog log;
  SilenceDetector detector{SilenceDetectorSettings(), time, log};
  std::uint32_t last_of_first_service = 10;
};

TEST_CASE("a back end is taken for dead while others of its service answer", "[silence]") {
  Harness harness;
  harness.recordAnswers(1, kBackends);
  harness.recordThreeSilentFlows(kSilent);
  CHECK(harness.detector.isDead(kSilent));
  CHECK(harness.detector.isSuspect(kSilent));
}

TEST_CASE("a back end is not taken for dead where nobody else of its service answers",
          "[silence]") {
  Harness harness;
  harness.last_of_first_service = kBackends - 2;
  harness.recordAnswers(1, kBackends);
  harness.recordThreeSilentFlows(kSilent);
  CHECK_FALSE(harness.detector.isDead(kSilent));
  CHECK(harness.detector.isSuspect(kSilent));
}

TEST_CASE("where many back ends of a service looked silent and answered, none is taken for dead",
          "[silence]") {
  Harness harness;
  harness.recordAnswers(1, kBackends);
  SECTION("of its service") {
    harness.recordLateAnswers(11, 13);
    harness.recordThreeSilentFlows(kSilent);
    CHECK_FALSE(harness.detector.isDead(kSilent));
    SECTION("until that is long past") {
      harness.time.elapsed += seconds(5);
      harness.recordAnswers(1, kBackends);
      harness.recordThreeSilentFlows(kSilent);
      CHECK(harness.detector.isDead(kSilent));
    }
  }
  SECTION("but for others of another service") {
    harness.recordLateAnswers(1, 9);
    harness.recordThreeSilentFlows(kSilent);
    CHECK(harness.detector.isDead(kSilent));
  }
  SECTION("but for two, which may each have lost a packet") {
    harness.recordLateAnswers(11, 12);
    harness.recordThreeSilentFlows(kSilent);
    CHECK(harness.detector.isDead(kSilent));
  }
}

TEST_CASE("under pressure a back end is passed over by lasting silence only", "[silence]") {
  Harness harness;
  harness.recordAnswers(1, kBackends);
  SECTION("as others tell") {
    FakePressure pressure;
    pressure.service_under_pressure = ServiceId(2);
    harness.detector.setPressure(&pressure);
    harness.time.elapsed += milliseconds(200);
    harness.recordUnanswered(kSilent, 1, 1);
    harness.recordUnanswered(BackendId(1), 1, 1);
    CHECK_FALSE(harness.detector.isSuspect(kSilent));
    CHECK(harness.detector.isSuspect(BackendId(1)));
    CHECK(harness.detector.observations().size() == 1);
    harness.time.elapsed += milliseconds(400);
    harness.recordUnanswered(kSilent, 1, 2);
    CHECK_FALSE(harness.detector.isSuspect(kSilent));
    harness.recordUnanswered(kSilent, 2, 1);
    CHECK(harness.detector.isSuspect(kSilent));
    harness.recordUnanswered(kSilent, 3, 2);
    CHECK_FALSE(harness.detector.isDead(kSilent));
  }
  SECTION("as seen") {
    harness.recordLateAnswers(11, 13);
    harness.recordUnanswered(kSilent, 1, 1);
    CHECK_FALSE(harness.detector.isSuspect(kSilent));
  }
}

TEST_CASE("what a node saw before it was behind is no evidence", "[silence]") {
  Harness harness;
  harness.recordAnswers(1, kBackends);
  harness.detector.onOpening(BackendId(19));
  harness.recordThreeSilentFlows(kSilent);
  REQUIRE(harness.detector.isDead(kSilent));
  REQUIRE(harness.detector.isSuspect(BackendId(19)));
  harness.detector.onBehind();
  CHECK_FALSE(harness.detector.isDead(kSilent));
  CHECK_FALSE(harness.detector.isSuspect(kSilent));
  CHECK_FALSE(harness.detector.isSuspect(BackendId(19)));
  CHECK(harness.detector.observations().empty());
  SECTION("nor are the packets that waited meanwhile") {
    harness.time.elapsed += milliseconds(10);
    for (std::uint16_t port = 1; port <= 3; ++port) {
      harness.recordUnanswered(kSilent, port, 2);
    }
    CHECK_FALSE(harness.detector.isDead(kSilent));
  }
  SECTION("what comes later is") {
    harness.time.elapsed += milliseconds(10);
    harness.detector.onOpening(BackendId(19));
    harness.time.elapsed += milliseconds(150);
    CHECK(harness.detector.isSuspect(BackendId(19)));
    harness.recordAnswers(1, kBackends - 2);
    harness.recordThreeSilentFlows(kSilent);
    CHECK(harness.detector.isDead(kSilent));
  }
}

/** A server that is down and up by turns; of every ten new flows one is its own. */
struct FlappingBackend {
  struct Count {
    int offered = 0;
    int placed = 0;
    int lost = 0;
  };

  bool isUp() const { return (harness.time.elapsed - period_start) % period < period / 2; }
  Duration timeDown() const { return (harness.time.elapsed - period_start) % period - period / 2; }

  void step() {
    harness.time.elapsed += kStep;
    if (harness.time.elapsed % (10 * kStep) == Duration::zero()) {
      harness.recordAnswers(11, kBackends - 1);
      simulateNewFlow();
    }
    simulateOpenFlow();
  }

  /** A new flow comes; its opening's copy goes elsewhere. */
  void simulateNewFlow() {
    ++count.offered;
    if (harness.detector.isSuspect(kSilent)) {
      return;
    }
    ++count.placed;
    count.lost += isUp() ? 0 : 1;
    harness.detector.onOpening(kSilent);
    if (isUp()) {
      harness.detector.onProgress(kSilent);
    }
  }

  /** Asks every 100 ms and repeats itself after 0.2 and 0.6 s. */
  void simulateOpenFlow() {
    if (isUp() && harness.time.elapsed % (5 * kStep) == Duration::zero()) {
      harness.detector.onProgress(kSilent);
    } else if (!isUp() && (timeDown() == milliseconds(200) || timeDown() == milliseconds(600))) {
      harness.recordUnanswered(kSilent, 1, timeDown() == milliseconds(200) ? 1 : 2);
    }
  }

  Count run(Duration duration) {
    count = Count();
    for (Duration passed{}; passed < duration; passed += kStep) {
      step();
    }
    return count;
  }

  static constexpr Duration kStep = milliseconds(20);
  Duration period = milliseconds(1200);
  Harness harness;
  Duration period_start = harness.time.elapsed;
  Count count;
};

TEST_CASE("a server that fails by turns gets no more flows than its time up allows", "[silence]") {
  FlappingBackend flapping;
  flapping.period = GENERATE(milliseconds(1000), milliseconds(1200), milliseconds(1520));
  flapping.run(3 * flapping.period);
  const auto count = flapping.run(3 * flapping.period);
  CHECK(2 * count.placed <= count.offered);
  CHECK(count.lost <= 1);
  SECTION("and is trusted again in the end") {
    flapping.period = seconds(100);
    flapping.period_start = flapping.harness.time.elapsed;
    flapping.run(seconds(12));
    const auto later = flapping.run(seconds(5));
    CHECK(later.placed == later.offered);
  }
}

TEST_CASE("a server that has failed once is used as soon as it answers", "[silence]") {
  FlappingBackend flapping;
  flapping.period = seconds(2);
  const std::uint32_t expired_failures = GENERATE(0, 3);
  flapping.run(expired_failures * flapping.period);
  flapping.period = seconds(200);
  flapping.period_start = flapping.harness.time.elapsed;
  flapping.run(seconds(61));
  flapping.period = seconds(4);
  flapping.period_start = flapping.harness.time.elapsed;
  flapping.run(flapping.period);
  flapping.run(milliseconds(100));
  const auto after = flapping.run(milliseconds(1500));
  CHECK(after.offered > 0);
  CHECK(after.placed == after.offered);
}

}  // namespace
}  // namespace lugfork
