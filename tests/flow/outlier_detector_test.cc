#include "flow/outlier_detector.h"

#include <catch2/catch.hpp>

#include "flow/retry_budget.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

struct Harness {
  void fail(std::uint32_t id, int times) {
    for (int time_index = 0; time_index < times; ++time_index) {
      detector.onFailure(makeBackend(id, ServiceId(1), kLac), FlowKey{{1, ++attempts}, 0}, 10);
    }
  }

  /** @return how long the backend stays ejected from now on. */
  Duration ejectionDuration(std::uint32_t id) {
    const Duration start = time.elapsed;
    while (detector.isEjected(BackendId(id))) {
      time.elapsed += milliseconds(10);
    }
    return time.elapsed - start;
  }

  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(3);
  OutlierDetector detector{OutlierDetectorSettings(), time, *random};
  std::uint64_t attempts = 0;
};

TEST_CASE("consecutive failures eject a backend, for longer each time") {
  Harness harness;
  harness.fail(1, 4);
  CHECK_FALSE(harness.detector.isEjected(BackendId(1)));
  harness.detector.onSuccess(BackendId(1));
  harness.fail(1, 4);
  CHECK_FALSE(harness.detector.isEjected(BackendId(1)));
  harness.fail(1, 1);
  for (int ejection = 1; ejection <= 3; ++ejection) {
    const Duration ejected = harness.ejectionDuration(1);
    CHECK(ejected >= seconds(5 * ejection));
    CHECK(ejected <= seconds(6 * ejection) + milliseconds(10));
    harness.fail(1, 5);
  }
}

TEST_CASE("retransmissions of one attempt and old failures do not add up") {
  Harness harness;
  const Backend backend = makeBackend(1, ServiceId(1), kLac);
  for (int transmission = 0; transmission < 50; ++transmission) {
    harness.detector.onFailure(backend, FlowKey{{1, 1}, 0}, 10);
  }
  CHECK_FALSE(harness.detector.isEjected(backend.id));
  for (int failure = 0; failure < 10; ++failure) {
    harness.time.elapsed += seconds(11);
    harness.fail(2, 1);
  }
  CHECK_FALSE(harness.detector.isEjected(BackendId(2)));
}

TEST_CASE("ejected fraction of a service is bounded") {
  Harness harness;
  for (std::uint32_t id = 1; id <= 10; ++id) {
    harness.fail(id, 20);
  }
  int ejected = 0;
  for (std::uint32_t id = 1; id <= 10; ++id) {
    ejected += harness.detector.isEjected(BackendId(id)) ? 1 : 0;
  }
  CHECK(ejected == 3);
}

TEST_CASE(
    "retry budget allows a fraction of first attempts, a minimum rate, and at most its capacity") {
  ManualTimeSource time;
  RetryBudget budget({0.2, 2, 5}, time);
  const auto drain = [&] {
    int taken = 0;
    while (budget.tryTake()) {
      ++taken;
    }
    return taken;
  };
  CHECK(drain() == 5);
  for (int first_attempt = 0; first_attempt < 11; ++first_attempt) {
    budget.onFirstAttempt();
  }
  CHECK(drain() == 2);
  time.elapsed += seconds(1);
  CHECK(drain() == 2);
  time.elapsed += seconds(100);
  CHECK(drain() == 5);
}

}  // namespace
}  // namespace lugfork
