#include <catch2/catch.hpp>

#include "config/live_configuration.h"
#include "flow/placement_engine.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kBackendCount = 40;

/** A configuration that is changed in place, and a placement engine that uses it. */
struct ChangingHarness {
  ChangingHarness() {
    setZones({kLac, kAriana});
    for (std::uint32_t id = 1; id <= kBackendCount; ++id) {
      configuration->put(makeBackend(id, ServiceId(1), kLac));
    }
    engine.setRequestsInFlight(&in_flight);
    engine.setConfiguration(configuration);
  }

  void setZones(std::vector<ZoneId> allowed) {
    configuration->setServices({{kLac, "lac", ""}, {kAriana, "ariana", ""}},
                               {{ServiceId(1), "listen", Endpoint(), allowed},
                                {ServiceId(2), "ingest", Endpoint(), allowed}});
  }

  ConfigurationChanges anyChange() {
    ConfigurationChanges changes;
    const auto id = static_cast<std::uint32_t>(1 + random->below(kBackendCount + 5));
    if (random->below(5) == 0) {
      auto removed = configuration->extract(BackendId(id));
      if (removed != nullptr) {
        changes.removed.push_back(std::move(removed));
      }
      return changes;
    }
    if (random->below(20) == 0) {
      setZones(random->below(2) == 0 ? std::vector<ZoneId>{kLac, kAriana} : std::vector{kLac});
      changes.services = true;
      return changes;
    }
    Backend backend = makeBackend(id, ServiceId(random->below(4) == 0 ? 2 : 1),
                                  random->below(2) == 0 ? kLac : kAriana);
    backend.draining = random->below(4) == 0;
    backend.retired = random->below(6) == 0;
    changes.backends.push_back(configuration->put(backend));
    return changes;
  }

  /** @return the id of the backend that an engine chooses; 0 for none. */
  std::uint32_t place(PlacementEngine& placement, ServiceId service, std::uint64_t flow) const {
    const auto placed = placement.place(*configuration->service(service), FlowId{1, flow});
    return placed ? placed.value()->id.value() : 0;
  }

  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(3);
  BackendLoadTable loads{LoadEstimateSettings(), time};
  RequestsInFlight in_flight{time};
  std::shared_ptr<LiveConfiguration> configuration = std::make_shared<LiveConfiguration>();
  PlacementEngine engine{PlacementSettings(), makePlacementPolicy("bounded_rendezvous"), loads,
                         time, *random};
};

TEST_CASE("an engine that applies changes in place chooses like a newly created one",
          "[placement]") {
  ChangingHarness harness;
  std::uint64_t flow = 0;
  for (int step = 0; step < 2000; ++step) {
    harness.engine.onConfigurationChanged(harness.anyChange());
    PlacementEngine fresh{PlacementSettings(), makePlacementPolicy("bounded_rendezvous"),
                          harness.loads, harness.time, *harness.random};
    fresh.setRequestsInFlight(&harness.in_flight);
    fresh.setConfiguration(harness.configuration);
    ++flow;
    for (const ServiceId service : {ServiceId(1), ServiceId(2)}) {
      REQUIRE(harness.place(harness.engine, service, flow) == harness.place(fresh, service, flow));
    }
  }
}

TEST_CASE("a service whose last backend drains or is removed has no candidate at once",
          "[placement]") {
  ChangingHarness harness;
  harness.configuration->put(makeBackend(100, ServiceId(2), kLac));
  harness.engine.invalidateCandidates();
  REQUIRE(harness.place(harness.engine, ServiceId(2), 1) == 100);
  ConfigurationChanges changes;
  SECTION("draining") {
    Backend draining = makeBackend(100, ServiceId(2), kLac);
    draining.draining = true;
    changes.backends.push_back(harness.configuration->put(draining));
  }
  SECTION("removed") {
    changes.removed.push_back(harness.configuration->extract(BackendId(100)));
  }
  harness.engine.onConfigurationChanged(changes);
  const auto refused =
      harness.engine.place(*harness.configuration->service(ServiceId(2)), FlowId{1, 2});
  REQUIRE_FALSE(refused);
  CHECK(refused.error().reason == Reason::NoBackendInAllowedZones);
}

TEST_CASE("many changes at once rebuild the candidate lists", "[placement]") {
  ChangingHarness harness;
  REQUIRE(harness.place(harness.engine, ServiceId(1), 1) != 0);
  ConfigurationChanges changes;
  for (std::uint32_t id = 1; id < 1000; ++id) {
    Backend draining = makeBackend(id, ServiceId(1), kLac);
    draining.draining = id != 900;
    changes.backends.push_back(harness.configuration->put(draining));
  }
  harness.engine.onConfigurationChanged(changes);
  CHECK(harness.place(harness.engine, ServiceId(1), 2) == 900);
}

}  // namespace
}  // namespace lugfork
