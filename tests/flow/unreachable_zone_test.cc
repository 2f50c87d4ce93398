#include <catch2/catch.hpp>

#include "flow/evidence_fixture.h"
#include "flow/placement_engine.h"

namespace lugfork {
namespace {

/** Backends above a given id are in unreachable zones. */
struct FakeSuspicion : BackendHealth {
  bool isSuspect(BackendId backend) const override {
    return suspects_backends && isInUnreachableZone(backend);
  }
  bool isInUnreachableZone(BackendId backend) const override {
    return backend.value() > last_reachable;
  }
  std::uint32_t last_reachable = 30;
  /** These backends are also suspect individually. */
  bool suspects_backends = true;
};

struct Harness {
  Harness() {
    engine.setConfiguration(view);
    engine.setBackendHealth(&suspicion);
  }

  /** @return the highest id among the backends of many placements. */
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

TEST_CASE("unreachable zones get no new flow, regardless of their number", "[placement]") {
  Harness harness;
  // Two of three zones: above the panic threshold, which would include them again.
  harness.suspicion.last_reachable = kBackendsPerZone;
  CHECK(harness.maxPlacedId() <= kBackendsPerZone);
}

TEST_CASE("updated backend of an unreachable zone gets no new flow", "[placement]") {
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

TEST_CASE("flows are placed in all zones if none is reachable", "[placement]") {
  Harness harness;
  harness.suspicion.last_reachable = 0;
  CHECK(harness.maxPlacedId() > 2 * kBackendsPerZone);
}

}  // namespace
}  // namespace lugfork
