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

/** Twenty backends, the first ten of one service. */
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

  /** Backends answer openings after 150 ms, so that they look silent for 50 ms. */
  void recordLateAnswers(std::uint32_t first, std::uint32_t last) {
    for (std::uint32_t id = first; id <= last; ++id) {
      detector.onOpening(BackendId(id));
    }
    time.elapsed += milliseconds(150);
    recordAnswers(first, last);
  }

  void recordUnanswered(BackendId backend, std::uint16_t port, std::uint16_t retransmissions) {
    detector.onRetransmission(backend, flowIdOf({kClient.address, port}, kListen), retransmissions);
  }

  /** Three flows retransmit twice, 200 and 600 ms after the last answer. */
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

TEST_CASE("silent backend is marked dead while others of its service answer", "[silence]") {
  Harness harness;
  harness.recordAnswers(1, kBackends);
  harness.recordThreeSilentFlows(kSilent);
  CHECK(harness.detector.isDead(kSilent));
  CHECK(harness.detector.isSuspect(kSilent));
}

TEST_CASE("silent backend is not marked dead if no other backend of its service answers",
          "[silence]") {
  Harness harness;
  harness.last_of_first_service = kBackends - 2;
  harness.recordAnswers(1, kBackends);
  harness.recordThreeSilentFlows(kSilent);
  CHECK_FALSE(harness.detector.isDead(kSilent));
  CHECK(harness.detector.isSuspect(kSilent));
}

TEST_CASE("silent backend is not marked dead after many false suspicions of its service",
          "[silence]") {
  Harness harness;
  harness.recordAnswers(1, kBackends);
  SECTION("false suspicions of its service") {
    harness.recordLateAnswers(11, 13);
    harness.recordThreeSilentFlows(kSilent);
    CHECK_FALSE(harness.detector.isDead(kSilent));
    SECTION("until the false suspicions expire") {
      harness.time.elapsed += seconds(5);
      harness.recordAnswers(1, kBackends);
      harness.recordThreeSilentFlows(kSilent);
      CHECK(harness.detector.isDead(kSilent));
    }
  }
  SECTION("false suspicions of another service do not count") {
    harness.recordLateAnswers(1, 9);
    harness.recordThreeSilentFlows(kSilent);
    CHECK(harness.detector.isDead(kSilent));
  }
  SECTION("two false suspicions are too few") {
    harness.recordLateAnswers(11, 12);
    harness.recordThreeSilentFlows(kSilent);
    CHECK(harness.detector.isDead(kSilent));
  }
}

TEST_CASE("under pressure only long silence makes a backend suspect", "[silence]") {
  Harness harness;
  harness.recordAnswers(1, kBackends);
  SECTION("pressure reported by the injected source") {
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
  SECTION("pressure derived from false suspicions") {
    harness.recordLateAnswers(11, 13);
    harness.recordUnanswered(kSilent, 1, 1);
    CHECK_FALSE(harness.detector.isSuspect(kSilent));
  }
}

TEST_CASE("observations from before the balancer was late are discarded", "[silence]") {
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
  SECTION("retransmissions that were delayed meanwhile do not count") {
    harness.time.elapsed += milliseconds(10);
    for (std::uint16_t port = 1; port <= 3; ++port) {
      harness.recordUnanswered(kSilent, port, 2);
    }
    CHECK_FALSE(harness.detector.isDead(kSilent));
  }
  SECTION("later observations count") {
    harness.time.elapsed += milliseconds(10);
    harness.detector.onOpening(BackendId(19));
    harness.time.elapsed += milliseconds(150);
    CHECK(harness.detector.isSuspect(BackendId(19)));
    harness.recordAnswers(1, kBackends - 2);
    harness.recordThreeSilentFlows(kSilent);
    CHECK(harness.detector.isDead(kSilent));
  }
}

/** A backend that alternates between up and down; every tenth new flow is offered to it. */
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

  /** Offers a new flow; retransmissions of its opening go to another backend. */
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

  /** Sends a request every 100 ms, with retransmissions after 0.2 and 0.6 s. */
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

TEST_CASE("flapping backend gets at most the flows that its uptime allows", "[silence]") {
  FlappingBackend flapping;
  flapping.period = GENERATE(milliseconds(1000), milliseconds(1200), milliseconds(1520));
  flapping.run(3 * flapping.period);
  const auto count = flapping.run(3 * flapping.period);
  CHECK(2 * count.placed <= count.offered);
  CHECK(count.lost <= 1);
  SECTION("it gets all flows again once it stays up") {
    flapping.period = seconds(100);
    flapping.period_start = flapping.harness.time.elapsed;
    flapping.run(seconds(12));
    const auto later = flapping.run(seconds(5));
    CHECK(later.placed == later.offered);
  }
}

TEST_CASE("backend that failed once gets new flows as soon as it answers", "[silence]") {
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
