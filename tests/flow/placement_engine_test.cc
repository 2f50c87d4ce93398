#include "flow/placement_engine.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

/** A service with the given number of backends in one zone, and its placement engine. */
struct PlacementHarness {
  explicit PlacementHarness(std::uint32_t backends, const std::string& policy = "power_of_two",
                            const PlacementSettings& settings = {})
      : engine(settings, makePlacementPolicy(policy), loads, time, *random) {
    Configuration configuration = twoServices();
    configuration.backends.clear();
    for (std::uint32_t id = 1; id <= backends; ++id) {
      configuration.backends.push_back(makeBackend(id, ServiceId(1), kLac));
    }
    setConfiguration(configuration);
  }

  void setConfiguration(const Configuration& configuration) {
    view = viewOf(configuration);
    engine.setConfiguration(view);
  }

  const Service& service() const { return *view->service(ServiceId(1)); }
  const Backend& backend(std::uint32_t id) const { return *view->backend(BackendId(id)); }

  void report(std::uint32_t id, std::uint32_t busy, std::uint32_t queued = 0,
              std::uint32_t uptime_ms = 1000000) {
    BackendReport report{BackendId(id), true, false, 0, busy, queued, uptime_ms, 0};
    report.measured_at_ms = toUnixMilliseconds(time.systemTime());
    loads.onReport(report);
  }

  void reportUnreachable(std::uint32_t id) {
    BackendReport report;
    report.backend = BackendId(id);
    report.measured_at_ms = toUnixMilliseconds(time.systemTime());
    loads.onReport(report);
  }

  void reportDraining(std::uint32_t id) {
    BackendReport report{BackendId(id), true, true, 0, 0, 0, 1000000, 0};
    report.measured_at_ms = toUnixMilliseconds(time.systemTime());
    loads.onReport(report);
  }

  Result<const Backend*, PlacementRefusal> place() {
    return engine.place(service(), FlowId{1, ++flows});
  }

  /** @return number of placements by backend; refusals are counted under 0. */
  std::map<std::uint32_t, int> placeMany(int count) {
    std::map<std::uint32_t, int> placements;
    for (int placed = 0; placed < count; ++placed) {
      const auto chosen = place();
      ++placements[chosen ? chosen.value()->id.value() : 0];
    }
    return placements;
  }

  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(3);
  BackendLoadTable loads{LoadEstimateSettings(), time};
  PlacementEngine engine;
  ConfigurationViewPtr view;
  std::uint64_t flows = 0;
};

TEST_CASE("backends that may not receive new flows are not chosen by any policy") {
  struct Row {
    const char* name;
    std::function<void(PlacementHarness&)> arrange;
  };
  const Row rows[] = {
      {"unreachable", [](PlacementHarness& harness) { harness.reportUnreachable(1); }},
      {"reported draining in a refusal",
       [](PlacementHarness& harness) { harness.loads.onDrainingRefusal(BackendId(1)); }},
      {"refused recently",
       [](PlacementHarness& harness) { harness.loads.onRefusal(BackendId(1), seconds(1)); }},
      {"reported full", [](PlacementHarness& harness) { harness.report(1, 2, 14); }},
      {"declared draining",
       [](PlacementHarness& harness) {
         Configuration configuration = harness.view->document();
         configuration.backends[0].draining = true;
         harness.setConfiguration(configuration);
       }},
  };
  for (const std::string& policy : placementPolicyNames()) {
    for (const Row& row : rows) {
      INFO(policy << ", " << row.name);
      PlacementHarness harness(4, policy);
      REQUIRE(harness.placeMany(100).count(1) == 1);
      row.arrange(harness);
      const auto placements = harness.placeMany(100);
      CHECK(placements.count(1) == 0);
      CHECK(placements.count(0) == 0);
    }
  }
}

TEST_CASE("with every backend full, new flows are rejected at once with a retry delay") {
  PlacementHarness harness(4);
  for (std::uint32_t id = 1; id <= 4; ++id) {
    harness.report(id, 2, 14);
  }
  const auto refused = harness.place();
  REQUIRE_FALSE(refused);
  CHECK(refused.error().reason == Reason::Overloaded);
  CHECK(refused.error().retry_after >= milliseconds(100));
  harness.time.elapsed += seconds(1);
  harness.report(2, 0);
  REQUIRE(harness.place());
}

TEST_CASE("live balancers divide the free capacity of a backend among them between reports") {
  PlacementHarness harness(2);
  harness.loads.setLiveBalancers(4);
  harness.report(1, 0);
  harness.report(2, 0);
  // Two slots, full at eight requests per slot: 16 requests, so 4 per balancer and backend.
  CHECK(harness.placeMany(20)[0] == 12);
}

TEST_CASE("without reports no backend counts as full") {
  PlacementHarness harness(2);
  CHECK(harness.placeMany(1000).count(0) == 0);
}

TEST_CASE("reports that a backend is draining or unreachable are valid for longer than its load") {
  PlacementHarness harness(5);
  harness.reportDraining(1);
  harness.reportUnreachable(2);
  harness.time.elapsed += seconds(60);
  const auto placements = harness.placeMany(100);
  CHECK(placements.count(1) == 0);
  CHECK(placements.count(2) == 0);
}

TEST_CASE("a failed probe does not clear the reported draining state") {
  PlacementHarness harness(2);
  harness.reportDraining(1);
  harness.time.elapsed += seconds(1);
  harness.reportUnreachable(1);
  harness.time.elapsed += seconds(200);
  CHECK(harness.placeMany(100).count(1) == 0);
}

TEST_CASE(
    "a report clears a reported draining state at once, one inferred from a refusal after a "
    "delay") {
  PlacementHarness harness(2);
  harness.reportDraining(1);
  harness.time.elapsed += seconds(1);
  harness.report(1, 0);
  CHECK(harness.placeMany(100).count(1) == 1);
  harness.loads.onDrainingRefusal(BackendId(1));
  harness.engine.invalidateCandidates();
  harness.time.elapsed += seconds(1);
  harness.report(1, 0);
  CHECK(harness.placeMany(100).count(1) == 0);
  harness.time.elapsed += seconds(10);
  harness.report(1, 0);
  CHECK(harness.placeMany(100).count(1) == 1);
}

TEST_CASE(
    "the weight of a report decays smoothly with its age towards the load of the other backends") {
  PlacementHarness harness(2);
  harness.report(1, 2);
  harness.report(2, 0);
  REQUIRE(harness.place());
  double before = harness.loads.estimatedLoad(harness.backend(1));
  CHECK(before >= 1);
  for (int step = 0; step < 110; ++step) {
    harness.time.elapsed += milliseconds(100);
    const double now = harness.loads.estimatedLoad(harness.backend(1));
    CHECK(std::abs(now - before) < 0.1);
    before = now;
  }
  CHECK(before == Approx(0.5).margin(0.01));
}

TEST_CASE("a backend that has just started receives a small and rising fraction of flows") {
  PlacementHarness harness(4);
  const auto flows_at_uptime = [&](std::uint32_t uptime_ms) {
    harness.time.elapsed += seconds(1);
    for (std::uint32_t id = 1; id <= 4; ++id) {
      harness.report(id, 1, 0, id == 1 ? uptime_ms : 1000000);
    }
    return harness.placeMany(8)[1];
  };
  const int at_start = flows_at_uptime(100);
  const int warm = flows_at_uptime(20000);
  CHECK(at_start == 0);
  CHECK(warm >= 1);
}

TEST_CASE("reachability is ignored if most backends of a service look unreachable") {
  PlacementHarness harness(10);
  for (std::uint32_t id = 1; id <= 6; ++id) {
    harness.reportUnreachable(id);
  }
  CHECK(harness.placeMany(300).size() == 10);
  PlacementHarness some(10);
  for (std::uint32_t id = 1; id <= 5; ++id) {
    some.reportUnreachable(id);
  }
  CHECK(some.placeMany(300).size() == 5);
}

TEST_CASE("a backend that keeps refusing although it reports free capacity is ejected") {
  PlacementHarness harness(10);
  harness.report(1, 0);
  for (std::uint64_t attempt = 0; attempt < 5; ++attempt) {
    harness.engine.onBackendRefusal(harness.backend(1), FlowKey{{0, attempt}, 0},
                                    Reason::Overloaded);
  }
  CHECK(harness.placeMany(100).count(1) == 0);
  harness.time.elapsed += seconds(7);
  CHECK(harness.placeMany(100).count(1) == 1);
}

TEST_CASE("placements obey the rules whatever state is reported") {
  rc::prop("never outside the allowed zones, never draining, ejections within the limit", [] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 30);
    PlacementHarness harness(count, *rc::gen::elementOf(placementPolicyNames()));
    Configuration configuration = harness.view->document();
    for (Backend& backend : configuration.backends) {
      backend.zone = *rc::gen::element(kLac, kAriana);
      backend.draining = *rc::gen::inRange(0, 5) == 0;
    }
    harness.setConfiguration(configuration);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      const auto id = static_cast<std::uint32_t>(step / 10) % count + 1;
      const Backend& backend = harness.backend(id);
      switch (step % 5) {
        case 0:
          harness.report(id, static_cast<std::uint32_t>(step) % 3);
          break;
        case 1:
          harness.reportUnreachable(id);
          break;
        case 2:
          for (std::uint64_t attempt = 0; attempt < 5; ++attempt) {
            harness.engine.onBackendRefusal(backend, FlowKey{{id, attempt}, 0},
                                            Reason::BackendGone);
          }
          break;
        case 3:
          harness.loads.onDrainingRefusal(backend.id);
          break;
        default:
          harness.time.elapsed += milliseconds(step);
      }
      const auto chosen = harness.place();
      if (!chosen) {
        RC_ASSERT(chosen.error().retry_after > Duration::zero());
        continue;
      }
      RC_ASSERT(chosen.value()->zone == kLac);
      RC_ASSERT(!harness.loads.isDraining(*chosen.value()));
    }
    std::size_t candidates = 0;
    std::size_t ejected = 0;
    for (const Backend& backend : harness.view->document().backends) {
      candidates += backend.zone == kLac && !backend.draining ? 1 : 0;
      ejected += harness.engine.isEjected(backend.id) ? 1 : 0;
    }
    RC_ASSERT(10 * ejected <= 3 * candidates);
  });
}

/** Ten backends in each of two zones, one of them local. */
struct TwoZoneHarness : PlacementHarness {
  TwoZoneHarness() : PlacementHarness(0, "bounded_rendezvous", makeSettings()) {
    Configuration configuration = twoServices();
    configuration.services[0].allowed_zones = {kLac, kAriana};
    configuration.backends.clear();
    for (std::uint32_t id = 1; id <= 20; ++id) {
      configuration.backends.push_back(makeBackend(id, ServiceId(1), id % 2 == 0 ? kLac : kAriana));
    }
    setConfiguration(configuration);
  }

  static PlacementSettings makeSettings() {
    PlacementSettings settings;
    settings.local_zone = "ariana";
    settings.local_weight = 3;
    settings.bulk_local_weight = 9;
    return settings;
  }

  /**
   * Places 4,000 flows, with the given pause before each.
   * @return how many are placed in the local zone.
   */
  int placeLocally(FlowVolume volume, Duration pause = seconds(1)) {
    int local = 0;
    for (int flow = 0; flow < 4000; ++flow) {
      time.elapsed += pause;
      const auto placed = engine.place(service(), FlowId{1, ++flows}, volume);
      local += placed.value()->zone == kAriana ? 1 : 0;
    }
    return local;
  }
};

TEST_CASE("local backends receive a fraction of flows proportional to their weight",
          "[placement]") {
  TwoZoneHarness harness;
  const int local = harness.placeLocally(FlowVolume::Small);
  // Three quarters, less the flows that the load bound moves off the last chosen backend.
  CHECK(local > 2700);
  CHECK(local < 3200);
}

TEST_CASE("bulk flows use the bulk weight, and the load bound takes precedence over it",
          "[placement]") {
  TwoZoneHarness harness;
  // Nine tenths, less the flows that the load bound moves off the last chosen backend.
  CHECK(harness.placeLocally(FlowVolume::Bulk) > 3400);
  // All at once: no backend gets more than 1.25 times the mean, the local half at most 5/8.
  CHECK(harness.placeLocally(FlowVolume::Bulk, Duration::zero()) <= 2500);
}

}  // namespace
}  // namespace lugfork
