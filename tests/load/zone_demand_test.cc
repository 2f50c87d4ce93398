#include "load/zone_demand.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

#include "common/random_generator.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr ServiceId kFeed{1};

/** One balancer of a zone of twenty, before servers whose work takes 25 ms. */
struct DemandHarness {
  /** Lets steps pass at a rate of this balancer. */
  void pass(int steps, double requests_per_second) {
    for (int step = 0; step < steps; ++step) {
      for (int part = 0; part < 200; ++part) {
        time.elapsed += milliseconds(1);
        if (random->unit() < requests_per_second / 1000) {
          demand.onRequest(kFeed);
        }
      }
      update();
    }
  }

  double update() {
    const double found = demand.update(kFeed, milliseconds(25), balancers).busy_slots;
    least = std::min(least, found);
    most = std::max(most, found);
    return found;
  }

  void forgetRange() {
    least = 1e9;
    most = 0;
  }

  std::unique_ptr<RandomGenerator> random = makeSeededRandom(5);
  ManualTimeSource time;
  ZoneDemand demand{ZoneDemandSettings(), time};
  ZoneBalancers balancers{20, 60, 3};
  double least = 1e9;
  double most = 0;
};

TEST_CASE("the busy slots of a zone are its requests times their service time", "[load]") {
  DemandHarness harness;
  harness.pass(100, 40);
  harness.forgetRange();
  harness.pass(200, 40);
  // 40 a second at each of 20 balancers, of 25 ms.
  CHECK(harness.least > 0.85 * 20);
  CHECK(harness.most < 1.15 * 20);
  CHECK(harness.demand.demand(kFeed).busy_slots == harness.update());
}

TEST_CASE("a demand is told only once enough requests were seen", "[load]") {
  DemandHarness harness;
  harness.pass(1, 10);
  CHECK(harness.demand.demand(kFeed).busy_slots == 0);
  harness.pass(9, 10);
  CHECK(harness.demand.demand(kFeed).busy_slots > 0);

  DemandHarness quiet;
  quiet.pass(300, 0.2);
  CHECK(quiet.most == 0);
  // Callers that have left say nothing of the next ones.
  harness.pass(300, 0);
  CHECK(harness.demand.demand(kFeed).busy_slots == 0);
}

TEST_CASE("nothing is told without a service time", "[load]") {
  DemandHarness harness;
  for (int step = 0; step < 50; ++step) {
    harness.demand.onRequest(kFeed);
    harness.time.elapsed += milliseconds(20);
    CHECK(harness.demand.update(kFeed, Duration(), harness.balancers).busy_slots == 0);
  }
}

TEST_CASE("three times the callers show within a second, also at a balancer of few", "[load]") {
  for (const double usual : {12.0, 40.0, 400.0}) {
    INFO(usual << " requests a second");
    DemandHarness harness;
    harness.pass(100, usual);
    const double before = harness.demand.demand(kFeed).busy_slots;
    REQUIRE(before == Approx(usual * 0.025 * 20).epsilon(0.2));
    harness.pass(5, 3 * usual);
    CHECK(harness.demand.demand(kFeed).busy_slots > 1.9 * before);
    harness.pass(10, 3 * usual);
    CHECK(harness.demand.demand(kFeed).busy_slots == Approx(3 * before).epsilon(0.3));
    // And their end too.
    harness.pass(15, usual);
    CHECK(harness.demand.demand(kFeed).busy_slots < 1.6 * before);
  }
}

TEST_CASE("the demand is right on the mean, also where a request comes in a second", "[load]") {
  for (const double usual : {1.5, 5.0, 40.0}) {
    INFO(usual << " requests a second");
    DemandHarness harness;
    harness.pass(100, usual);
    double sum = 0;
    double squares = 0;
    for (int step = 0; step < 5000; ++step) {
      harness.pass(1, usual);
      const double ratio = harness.demand.demand(kFeed).busy_slots / (usual * 0.025 * 20);
      sum += ratio / 5000;
      squares += ratio * ratio / 5000;
    }
    CHECK(sum > 0.95);
    CHECK(sum < 1.05);
    CHECK(std::sqrt(squares - sum * sum) < 1.3 / std::sqrt(std::min(10 * usual, 400.0)));
  }
}

TEST_CASE("where it is not told which balancers are of the own zone, they are an even part",
          "[load]") {
  CHECK(ZoneBalancers{25, 76, 3}.inLocalZone() == 25);
  CHECK(ZoneBalancers{0, 76, 4}.inLocalZone() == 19);
  CHECK(ZoneBalancers{0, 1, 3}.inLocalZone() == 1);
  CHECK(ZoneBalancers{0, 0, 0}.inLocalZone() == 1);
}

TEST_CASE("services that are not known any more are forgotten", "[load]") {
  DemandHarness harness;
  harness.pass(50, 40);
  Configuration configuration = twoServices();
  harness.demand.retain(*viewOf(configuration));
  REQUIRE(harness.demand.demand(kFeed).busy_slots > 0);
  std::erase_if(configuration.services, [](const Service& service) { return service.id == kFeed; });
  std::erase_if(configuration.backends,
                [](const Backend& backend) { return backend.service == kFeed; });
  harness.demand.retain(*viewOf(configuration));
  CHECK(harness.demand.demand(kFeed).busy_slots == 0);
}

}  // namespace
}  // namespace lugfork
