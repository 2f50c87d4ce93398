#include <catch2/catch.hpp>
#include <cmath>

#include "flow/locality_router.h"
#include "flow/router_harness.h"

/** The local fraction by the demand of the local clients, at a single router. */
namespace lugfork {
namespace {

constexpr ServiceId kFeed{1};

/** A router of a zone with a tenth of 240 slots. */
struct DemandRouterHarness {
  DemandRouterHarness() : router(make(), time, log) {}

  static LocalitySettings make() {
    LocalitySettings settings;
    settings.max_weight = 50;
    settings.max_bulk_weight = 50;
    return settings;
  }

  double assess(double demand) {
    const Service service{kFeed, "feed", kListen, {kLac, kAriana}};
    capacity.demand = {demand, milliseconds(25)};
    router.assess(service, capacity);
    return router.localFraction(kFeed);
  }

  /** Advances the time by half seconds, each with local and remote answers. */
  void advance(int half_seconds, double demand, int local_ms, int remote_ms) {
    for (int half_second = 0; half_second < half_seconds; ++half_second) {
      for (int answer = 0; answer < 10; ++answer) {
        time.elapsed += milliseconds(50);
        router.onResponse(kFeed, true, milliseconds(local_ms * (answer % 2 == 0 ? 4 : 2) / 3));
        router.onResponse(kFeed, false, milliseconds(remote_ms * (answer % 2 == 0 ? 4 : 2) / 3));
      }
      assess(demand);
    }
  }

  ManualTimeSource time;
  NullEventLog log;
  LocalityCapacity capacity{24, 24, 240, 240, 3};
  LocalityRouter router;
};

TEST_CASE("the local fraction follows the demand and the usable slots at once",
          "[locality][demand]") {
  struct Row {
    const char* name;
    double local_usable_slots;
    double demand;
    double max_fraction;
    double min_fraction;
  };
  const Row rows[] = {
      {"low demand in a zone with few slots", 24, 12, 0.85, 0.84},
      {"demand at the target utilization", 24, 16.8, 0.85, 0.84},
      {"demand at twice the target", 24, 33.6, 0.5, 0.43},
      {"demand above all slots of all zones", 24, 400, 0.101, 0.099},
      {"half of the slots lost", 12, 16.8, 0.5, 0.43},
      {"all slots lost", 0, 1, 0.101, 0.099},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    DemandRouterHarness harness;
    harness.capacity.local_usable_slots = row.local_usable_slots;
    harness.capacity.total_usable_slots = 216 + row.local_usable_slots;
    const double local_fraction = harness.assess(row.demand);
    CHECK(local_fraction <= row.max_fraction);
    CHECK(local_fraction >= row.min_fraction);
    const bool keeps_all = row.min_fraction > 0.8;
    CHECK(harness.router.cause(kFeed) == (keeps_all ? OverflowCause::None : OverflowCause::Demand));
  }
}

TEST_CASE("with unknown demand the local fraction depends on the usable slots",
          "[locality][demand]") {
  DemandRouterHarness harness;
  const double by_slots = harness.assess(0);
  CHECK(by_slots < 0.65);
  CHECK(harness.router.cause(kFeed) == OverflowCause::Capacity);
  harness.time.elapsed += seconds(1);
  harness.assess(100);
  CHECK(harness.router.localFraction(kFeed) < 0.2);
  harness.time.elapsed += seconds(60);
  for (int step = 0; step < 300; ++step) {
    harness.time.elapsed += milliseconds(200);
    harness.assess(0);
  }
  CHECK(harness.router.localFraction(kFeed) == Approx(by_slots));
}

TEST_CASE("fluctuations of the demand by a tenth do not change the local fraction",
          "[locality][demand]") {
  for (const double mean : {16.8, 20.0, 30.0, 60.0}) {
    INFO("demand " << mean);
    DemandRouterHarness harness;
    harness.assess(1.05 * mean);
    harness.time.elapsed += seconds(60);
    const double local_fraction = harness.assess(1.05 * mean);
    for (int step = 0; step < 600; ++step) {
      harness.time.elapsed += milliseconds(200);
      REQUIRE(harness.assess(mean * (1 + 0.05 * std::sin(step))) == Approx(local_fraction));
    }
  }
}

TEST_CASE("when the demand falls, flows return to the local zone", "[locality][demand]") {
  DemandRouterHarness harness;
  harness.assess(60);
  REQUIRE(harness.router.localFraction(kFeed) < 0.35);
  for (int step = 0; step < 150; ++step) {
    harness.time.elapsed += milliseconds(200);
    harness.assess(10);
  }
  CHECK(harness.router.weight(kFeed, false) == 50);
  CHECK(harness.router.cause(kFeed) == OverflowCause::None);
}

TEST_CASE("overflow by demand is reduced if response times of all zones are equal",
          "[locality][demand]") {
  DemandRouterHarness harness;
  harness.assess(40);
  REQUIRE(harness.router.localFraction(kFeed) < 0.5);
  harness.advance(120, 40, 80, 80);
  CHECK(harness.router.weight(kFeed, false) == 50);
  // A further rise of the demand takes effect at once again.
  harness.assess(80);
  CHECK(harness.router.localFraction(kFeed) < 0.8);
  CHECK(harness.router.cause(kFeed) == OverflowCause::Demand);
}

TEST_CASE("overflow by demand is kept while other zones answer faster", "[locality][demand]") {
  DemandRouterHarness harness;
  const double local_fraction = harness.assess(40);
  harness.advance(120, 40, 36, 30);
  CHECK(harness.router.localFraction(kFeed) == Approx(local_fraction));
  // Slower local response times increase the overflow further.
  harness.advance(10, 40, 80, 30);
  CHECK(harness.router.localFraction(kFeed) < local_fraction);
  CHECK(harness.router.cause(kFeed) == OverflowCause::ResponseTime);
}

TEST_CASE("overflow by demand is kept while there are too few answers", "[locality][demand]") {
  DemandRouterHarness harness;
  const double local_fraction = harness.assess(40);
  for (int step = 0; step < 300; ++step) {
    harness.time.elapsed += milliseconds(200);
    harness.assess(40);
  }
  CHECK(harness.router.localFraction(kFeed) == Approx(local_fraction));
}

}  // namespace
}  // namespace lugfork
