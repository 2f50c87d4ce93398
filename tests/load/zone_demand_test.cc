#include "load/zone_demand.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

#include "common/random_generator.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr ServiceId kFeed{1};

/** One balancer of a zone of twenty, with backends whose work takes 25 ms. */
struct DemandHarness {
  /** Advances the time by steps of 200 ms, with requests at the given rate at this balancer. */
  void advance(int steps, double requests_per_second) {
    for (int step = 0; step < steps; ++step) {
      for (int millisecond = 0; millisecond < 200; ++millisecond) {
        time.elapsed += milliseconds(1);
        if (random->unit() < requests_per_second / 1000) {
          demand.onRequest(kFeed);
        }
      }
      update();
    }
  }

  double update() {
    const double busy_slots = demand.update(kFeed, milliseconds(25), balancers).busy_slots;
    min_busy_slots = std::min(min_busy_slots, busy_slots);
    max_busy_slots = std::max(max_busy_slots, busy_slots);
    return busy_slots;
  }

  void resetRange() {
    min_busy_slots = 1e9;
    max_busy_slots = 0;
  }

  std::unique_ptr<RandomGenerator> random = makeSeededRandom(5);
  ManualTimeSource time;
  ZoneDemand demand{ZoneDemandSettings(), time};
  ZoneBalancers balancers{20, 60, 3};
  double min_busy_slots = 1e9;
  double max_busy_slots = 0;
};

TEST_CASE("the busy slots of a zone are its request rate times the service time", "[load]") {
  DemandHarness harness;
  harness.advance(100, 40);
  harness.resetRange();
  harness.advance(200, 40);
  // 40 requests per second at each of 20 balancers, 25 ms each.
  CHECK(harness.min_busy_slots > 0.85 * 20);
  CHECK(harness.max_busy_slots < 1.15 * 20);
  CHECK(harness.demand.demand(kFeed).busy_slots == harness.update());
}

TEST_CASE("the demand is known only after enough requests", "[load]") {
  DemandHarness harness;
  harness.advance(1, 10);
  CHECK(harness.demand.demand(kFeed).busy_slots == 0);
  harness.advance(9, 10);
  CHECK(harness.demand.demand(kFeed).busy_slots > 0);

  DemandHarness quiet;
  quiet.advance(300, 0.2);
  CHECK(quiet.max_busy_slots == 0);
  // Clients that have left give no information about later ones.
  harness.advance(300, 0);
  CHECK(harness.demand.demand(kFeed).busy_slots == 0);
}

TEST_CASE("the demand is unknown without a service time", "[load]") {
  DemandHarness harness;
  for (int step = 0; step < 50; ++step) {
    harness.demand.onRequest(kFeed);
    harness.time.elapsed += milliseconds(20);
    CHECK(harness.demand.update(kFeed, Duration(), harness.balancers).busy_slots == 0);
  }
}

TEST_CASE("a threefold rise is detected within a second, also with few requests", "[load]") {
  for (const double requests_per_second : {12.0, 40.0, 400.0}) {
    INFO(requests_per_second << " requests a second");
    DemandHarness harness;
    harness.advance(100, requests_per_second);
    const double before = harness.demand.demand(kFeed).busy_slots;
    REQUIRE(before == Approx(requests_per_second * 0.025 * 20).epsilon(0.2));
    harness.advance(5, 3 * requests_per_second);
    CHECK(harness.demand.demand(kFeed).busy_slots > 1.9 * before);
    harness.advance(10, 3 * requests_per_second);
    CHECK(harness.demand.demand(kFeed).busy_slots == Approx(3 * before).epsilon(0.3));
    // The end of the rise is detected as well.
    harness.advance(15, requests_per_second);
    CHECK(harness.demand.demand(kFeed).busy_slots < 1.6 * before);
  }
}

TEST_CASE("the mean of the demand is right, also at one or two requests per second", "[load]") {
  for (const double requests_per_second : {1.5, 5.0, 40.0}) {
    INFO(requests_per_second << " requests a second");
    DemandHarness harness;
    harness.advance(100, requests_per_second);
    double sum = 0;
    double squares = 0;
    for (int step = 0; step < 5000; ++step) {
      harness.advance(1, requests_per_second);
      const double ratio =
          harness.demand.demand(kFeed).busy_slots / (requests_per_second * 0.025 * 20);
      sum += ratio / 5000;
      squares += ratio * ratio / 5000;
    }
    CHECK(sum > 0.95);
    CHECK(sum < 1.05);
    CHECK(std::sqrt(squares - sum * sum) <
          1.3 / std::sqrt(std::min(10 * requests_per_second, 400.0)));
  }
}

TEST_CASE("without the number of balancers in the local zone an even distribution is assumed",
          "[load]") {
  CHECK(ZoneBalancers{25, 76, 3}.inLocalZone() == 25);
  CHECK(ZoneBalancers{0, 76, 4}.inLocalZone() == 19);
  CHECK(ZoneBalancers{0, 1, 3}.inLocalZone() == 1);
  CHECK(ZoneBalancers{0, 0, 0}.inLocalZone() == 1);
}

TEST_CASE("services that are no longer configured are removed", "[load]") {
  DemandHarness harness;
  harness.advance(50, 40);
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
