#include "discovery/backend_registry.h"

#include <catch2/catch.hpp>
#include <numeric>

#include "common/random_generator.h"
#include "flow/compact_token.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Duration kRetiredTtl = seconds(60);

BackendRecord recordOf(std::uint64_t server_id, const std::string& service, Endpoint address,
                       BackendState state = BackendState::Ready) {
  BackendRecord record;
  record.server_id = server_id;
  record.name = "i-" + std::to_string(server_id);
  record.service = service;
  record.address = address;
  record.zone = "lac";
  record.slots = 2;
  record.state = state;
  return record;
}

struct RegistryHarness {
  ManualTimeSource time;
  NullEventLog log;
  BackendRegistry registry{kRetiredTtl, time, log};

  ConfigurationViewPtr updatedConfiguration() {
    registry.updateConfiguration();
    return registry.configuration();
  }

  const Backend* find(const ConfigurationViewPtr& view, std::uint64_t server_id) const {
    return view->backend(backendIdOfServer(server_id));
  }
};

TEST_CASE("a route distributes flows over its services by weight", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onRoutes({7, {{kListen, {{"listen", 90}, {"ingest", 10}}}}}, 1);
  const auto view = harness.updatedConfiguration();
  const Route* route = view->routeAt(kListen);
  REQUIRE(route != nullptr);
  CHECK(view->routeAt(kIngest) == nullptr);
  std::map<std::string, int> counts;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    ++counts[view->service(*route->serviceFor(hash))->name];
  }
  CHECK(counts == std::map<std::string, int>{{"ingest", 100}, {"listen", 900}});
}

TEST_CASE("a route without any weight selects no service", "[backend_registry]") {
  CHECK_FALSE(Route{kListen, {{ServiceId(1), 0}}}.serviceFor(5).has_value());
  CHECK_FALSE(Route{kListen, {}}.serviceFor(5).has_value());
}

TEST_CASE("a zone out of service is not an allowed zone of any service", "[backend_registry]") {
  RegistryHarness harness;
  BackendRecord in_ariana = recordOf(2, "listen", addressOf(2));
  in_ariana.zone = "ariana";
  harness.registry.onBackend("a", recordOf(1, "listen", addressOf(1)), 1, 1);
  harness.registry.onBackend("b", in_ariana, 2, 2);
  const auto allowed = [&](std::uint64_t server_id) {
    const auto view = harness.updatedConfiguration();
    const Backend* backend = harness.find(view, server_id);
    return view->service(backend->service)->allowsZone(backend->zone);
  };
  harness.registry.onZoneOutOfService("zones/lac", {"lac"}, 3);
  CHECK_FALSE(allowed(1));
  CHECK(allowed(2));
  harness.registry.onZoneOutOfService("zones/unknown", {"nowhere"}, 4);
  CHECK(allowed(2));
  CHECK_FALSE(harness.registry.onZoneBackInService("a", 5));
  CHECK(harness.registry.onZoneBackInService("zones/lac", 6));
  CHECK(allowed(1));
}

TEST_CASE("a cold backend has its service's limit until its warm-up ends", "[backend_registry]") {
  RegistryHarness harness;
  RouteTable table{7, {{kListen, {{"listen", 1}}}}, {{"listen", 750}, {"ingest", 0}}};
  BackendRecord cold = recordOf(1, "listen", addressOf(1));
  cold.warmup_left_ms = 1500;
  BackendRecord other = recordOf(3, "ingest", addressOf(3));
  other.warmup_left_ms = 1500;
  harness.registry.onRoutes(table, 1);
  harness.registry.onBackend("a", cold, 2, 2);
  harness.registry.onBackend("b", recordOf(2, "listen", addressOf(2)), 3, 3);
  harness.registry.onBackend("c", other, 4, 4);
  const auto view = harness.updatedConfiguration();
  CHECK(harness.find(view, 1)->cold_flows_per_second == 12.5);
  CHECK(harness.find(view, 1)->cold_until == harness.time.monotonicTime() + milliseconds(1500));
  CHECK(harness.find(view, 2)->cold_flows_per_second == 0);
  CHECK(harness.find(view, 3)->cold_flows_per_second == 0);
}

TEST_CASE("an older version of the routes is ignored", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onRoutes({7, {{kListen, {{"listen", 1}}}}}, 10);
  harness.registry.onRoutes({6, {{kIngest, {{"listen", 1}}}}}, 11);
  CHECK(harness.registry.routesVersion() == 7);
  CHECK(harness.updatedConfiguration()->routeAt(kListen) != nullptr);
}

TEST_CASE("a missing backend stays in use until it is rewritten, retired or its address is reused",
          "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onBackend("backends/a", recordOf(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onBackendMissing("backends/a", 9);
  const auto is_retired = [&] {
    return harness.find(harness.updatedConfiguration(), 0xa)->retired;
  };
  CHECK_FALSE(is_retired());
  SECTION("its record is written again") {
    harness.registry.onBackend("backends/a", recordOf(0xa, "listen", addressOf(1)), 10, 10);
    CHECK_FALSE(harness.registry.retireMissing());
    CHECK_FALSE(is_retired());
  }
  SECTION("it is still missing") {
    CHECK(harness.registry.retireMissing());
    CHECK(is_retired());
  }
  SECTION("it is deleted and already pruned when missing backends are retired") {
    harness.registry.onBackendDeleted("backends/a", 10);
    CHECK(is_retired());
    harness.time.elapsed += kRetiredTtl + seconds(1);
    CHECK(harness.registry.pruneRetired());
    CHECK_FALSE(harness.registry.retireMissing());
  }
  SECTION("another backend uses its address") {
    harness.registry.onBackend("backends/b", recordOf(0xb, "ingest", addressOf(1)), 10, 10);
    CHECK(is_retired());
  }
}

TEST_CASE("a deleted backend stays reachable for open flows and gets no new ones",
          "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onBackend("backends/a", recordOf(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onBackendDeleted("backends/a", 9);
  auto view = harness.updatedConfiguration();
  const Backend* backend = harness.find(view, 0xa);
  REQUIRE(backend != nullptr);
  CHECK(backend->retired);
  CHECK(view->backendsOf(backend->service).empty());
  CHECK(view->backendAt(addressOf(1)) == nullptr);

  harness.time.elapsed += kRetiredTtl + seconds(1);
  CHECK(harness.registry.pruneRetired());
  view = harness.updatedConfiguration();
  CHECK(harness.find(view, 0xa) == nullptr);
}

TEST_CASE("a deleted backend whose record is written again is no longer retired",
          "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onBackend("backends/a", recordOf(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onBackendDeleted("backends/a", 9);
  harness.registry.onBackend("backends/a", recordOf(0xa, "listen", addressOf(1)), 12, 12);
  const auto view = harness.updatedConfiguration();
  CHECK_FALSE(harness.find(view, 0xa)->retired);
}

TEST_CASE("a draining backend is kept and marked as draining", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onBackend("backends/a", recordOf(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onBackend("backends/a",
                             recordOf(0xa, "listen", addressOf(1), BackendState::Draining), 5, 3);
  CHECK(harness.find(harness.updatedConfiguration(), 0xa)->draining);
}

BackendRecord startedAt(std::uint64_t started_ms, BackendState state = BackendState::Ready) {
  BackendRecord record = recordOf(0xa, "listen", addressOf(1), state);
  record.started_ms = started_ms;
  return record;
}

TEST_CASE("a later start under a known id is reported as a restart once", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onBackend("backends/a", startedAt(1000, BackendState::Draining), 3, 3);
  CHECK(harness.registry.updateConfiguration().restarted.empty());
  const bool is_deleted = GENERATE(false, true);
  if (is_deleted) {
    harness.registry.onBackendDeleted("backends/a", 4);
  }
  harness.registry.onBackend("backends/a", startedAt(2000), 5, 3);
  const auto changes = harness.registry.updateConfiguration();
  CHECK(changes.restarted == std::vector<BackendId>{backendIdOfServer(0xa)});
  const Backend* backend = harness.find(harness.registry.configuration(), 0xa);
  CHECK_FALSE(backend->draining);
  CHECK_FALSE(backend->retired);
  harness.registry.onBackend("backends/a", startedAt(2000), 6, 3);
  CHECK(harness.registry.updateConfiguration().restarted.empty());
}

TEST_CASE("a delayed record of an earlier incarnation is ignored", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onBackend("backends/a", startedAt(2000), 3, 3);
  harness.registry.onBackend("backends/a", startedAt(1000, BackendState::Draining), 7, 3);
  CHECK_FALSE(harness.find(harness.updatedConfiguration(), 0xa)->draining);
  harness.registry.onBackend("backends/a", startedAt(2000, BackendState::Draining), 8, 3);
  CHECK(harness.find(harness.updatedConfiguration(), 0xa)->draining);
  CHECK(harness.registry.updateConfiguration().restarted.empty());
}

TEST_CASE("a record without a start time belongs to the known incarnation", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onBackend("backends/a", startedAt(0), 2, 2);
  harness.registry.onBackend("backends/a", startedAt(2000), 3, 2);
  harness.registry.onBackend("backends/a", startedAt(0, BackendState::Draining), 4, 2);
  CHECK(harness.registry.updateConfiguration().restarted.empty());
  CHECK(harness.find(harness.registry.configuration(), 0xa)->draining);
  harness.registry.onBackend("backends/a", startedAt(1000), 5, 2);
  CHECK(harness.find(harness.updatedConfiguration(), 0xa)->draining);
}

TEST_CASE("a backend of a service that no configuration names gets no flows and no address",
          "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onRoutes({7, {{kListen, {{"listen", 1}}}}, {{"ingest", 0}}}, 1);
  harness.registry.onBackend("backends/a", recordOf(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onBackend("backends/b", recordOf(0xb, "elsewhere", addressOf(1)), 4, 4);
  harness.registry.onBackend("backends/c", recordOf(0xc, "ingest", addressOf(3)), 5, 5);
  harness.registry.onBackendDeleted("backends/a", 6);
  auto view = harness.updatedConfiguration();
  CHECK(harness.find(view, 0xa)->retired);
  CHECK(view->backendAt(addressOf(1)) == nullptr);
  CHECK(harness.find(view, 0xb) == nullptr);
  CHECK(harness.find(view, 0xc) != nullptr);
  // A later configuration names the service. It is kept for its open flows after that.
  harness.registry.onRoutes({8, {{kListen, {{"elsewhere", 1}}}}}, 7);
  CHECK(harness.find(harness.updatedConfiguration(), 0xb) != nullptr);
  harness.registry.onRoutes({9, {{kListen, {{"listen", 1}}}}}, 8);
  CHECK(harness.find(harness.updatedConfiguration(), 0xb) != nullptr);
}

/** @return pairs of platform ids that fold to the same token id. */
std::vector<std::pair<std::uint64_t, std::uint64_t>> collidingIds(std::size_t drawn) {
  const auto random = makeSeededRandom(14);
  std::unordered_map<BackendId, std::uint64_t> by_token_id;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> pairs;
  for (std::size_t index = 0; index < drawn; ++index) {
    const std::uint64_t id = random->next() >> 24;
    const auto [known, is_new] = by_token_id.try_emplace(backendIdOfServer(id), id);
    if (!is_new && known->second != id) {
      pairs.emplace_back(known->second, id);
    }
  }
  return pairs;
}

TEST_CASE("two backends whose ids collide both get flows, with the same ids on all balancers",
          "[backend_registry]") {
  const auto pairs = collidingIds(250'000);
  REQUIRE(pairs.size() >= 3);
  for (const auto& [older, newer] : pairs) {
    std::vector<BackendRecord> fleet = {recordOf(older, "listen", addressOf(1)),
                                        recordOf(newer, "listen", addressOf(2))};
    for (std::uint32_t index = 0; index < 1000; ++index) {
      fleet.push_back(recordOf(0x100000 + index, "listen", addressOf(3 + index)));
    }
    for (const bool newer_first : {false, true}) {
      RegistryHarness harness;
      std::vector<std::size_t> order(fleet.size());
      std::iota(order.begin(), order.end(), std::size_t{0});
      if (newer_first) {
        std::swap(order[0], order[1]);
      }
      for (const std::size_t index : order) {
        harness.registry.onBackend("backends/" + fleet[index].name, fleet[index], 10 + index,
                                   10 + index);
        harness.updatedConfiguration();
      }
      const auto view = harness.updatedConfiguration();
      REQUIRE(harness.find(view, older) != nullptr);
      CHECK(harness.find(view, older)->server_id == older);
      const Backend* second = view->backend(secondaryBackendIdOfServer(newer));
      REQUIRE(second != nullptr);
      CHECK(second->server_id == newer);
      CHECK(view->backendsOf(second->service).size() == fleet.size());
      // The newer backend keeps its secondary id after the older one is pruned, so that its open
      // flows continue.
      harness.registry.onBackendDeleted("backends/" + fleet[0].name, 5000);
      harness.time.elapsed += kRetiredTtl + seconds(1);
      harness.registry.pruneRetired();
      CHECK(harness.updatedConfiguration()->backend(secondaryBackendIdOfServer(newer))->server_id ==
            newer);
    }
  }
}

}  // namespace
}  // namespace lugfork
