#include <catch2/catch.hpp>

#include "flow/evidence_fixture.h"
#include "flow/placement_engine.h"

namespace lugfork {
namespace {

/** Zones that can't be reached, as the test says. */
struct FakeSuspicion : BackendSuspicion {
  bool isSuspect(BackendId backend) const override {
    return suspects_backends && isOutOfReach(backend);
  }
  bool isOutOfReach(BackendId backend) const override { return backend.value() > last_reachable; }
  std::uint32_t last_reachable = 30;
  /** Its servers are suspect one by one, too. */
  bool suspects_backends = true;
};

struct Harness {
  Harness() {
    engine.setConfiguration(view);
    engine.setSuspicion(&suspicion);
  }

  /** @return the highest id among the back ends of many placements. */
  std::uint32_t maxPlacedId() {
    std::uint32_t max_id = 0;
    for (int flow = 0; flow < 500; ++flow) {
      time.elapsed += milliseconds(300);
      const auto placed = engine.place(*view->service(ServiceId(1)), FlowId{1, ++flows});
      REQUIRE(placed);
      max_id = std::max(max_id, placed.value()->id.value());
    }
    return max_id;
  }

  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(3);
  BackendLoadTable loads{LoadEstimateSettings(), time};
  FakeSuspicion suspicion;
  ConfigurationViewPtr view = viewOf(threeZones());
  PlacementEngine engine{PlacementSettings(), makePlacementPolicy("bounded_rendezvous"), loads,
                         time, *random};
  std::uint64_t flows = 0;
};

TEST_CASE("zones out of reach get no new flow, however many they are", "[placement]") {
  Harness harness;
  // Two of three zones: above the panic threshold, which would take them back in.
  harness.suspicion.last_reachable = kBackendsPerZone;
  CHECK(harness.maxPlacedId() <= kBackendsPerZone);
}

TEST_CASE("a server of a zone out of reach that is written again gets no new flow", "[placement]") {
  Harness harness;
  harness.suspicion.suspects_backends = false;
  harness.suspicion.last_reachable = kBackendsPerZone;
  CHECK(harness.maxPlacedId() <= kBackendsPerZone);
  ConfigurationChanges changes;
  for (std::uint32_t id = kBackendsPerZone + 1; id <= 3 * kBackendsPerZone; ++id) {
    changes.backends.push_back(harness.view->backend(BackendId(id)));
  }
  harness.engine.onConfigurationChanged(changes);
  for (std::uint64_t flow = 0; flow < 100; ++flow) {
    const auto placed = harness.engine.place(*harness.view->service(ServiceId(1)), FlowId{2, flow});
    REQUIRE(placed);
    CHECK(placed.value()->id.value() <= kBackendsPerZone);
  }
}

TEST_CASE("where no zone is in reach flows are placed as if all were", "[placement]") {
  Harness harness;
  harness.suspicion.last_reachable = 0;
  CHECK(harness.maxPlacedId() > 2 * kBackendsPerZone);
}

}  // namespace
}  // namespace lugfork
