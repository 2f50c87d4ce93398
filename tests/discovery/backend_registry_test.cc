#include "discovery/backend_registry.h"

#include <catch2/catch.hpp>
#include <numeric>

#include "common/random_generator.h"
#include "flow/compact_token.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Duration kRetiredFor = seconds(60);

ServerRecord server(std::uint64_t server_id, const std::string& service, Endpoint address,
                    ServerState state = ServerState::Ready) {
  ServerRecord record;
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
  BackendRegistry registry{kRetiredFor, time, log};

  ConfigurationViewPtr upToDate() {
    registry.updateConfiguration();
    return registry.configuration();
  }

  const Backend* find(const ConfigurationViewPtr& view, std::uint64_t server_id) const {
    return view->backend(backendIdOfServer(server_id));
  }
};

TEST_CASE("a route gives flows to its services by weight", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onRoutes({7, {{kListen, {{"listen", 90}, {"ingest", 10}}}}}, 1);
  const auto view = harness.upToDate();
  const Route* route = view->routeAt(kListen);
  REQUIRE(route != nullptr);
  CHECK(view->routeAt(kIngest) == nullptr);
  std::map<std::string, int> counts;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    ++counts[view->service(*route->serviceFor(hash))->name];
  }
  CHECK(counts == std::map<std::string, int>{{"ingest", 100}, {"listen", 900}});
}

TEST_CASE("a route without any weight serves nobody", "[backend_registry]") {
  CHECK_FALSE(Route{kListen, {{ServiceId(1), 0}}}.serviceFor(5).has_value());
  CHECK_FALSE(Route{kListen, {}}.serviceFor(5).has_value());
}

TEST_CASE("a zone out of service is no allowed zone of any service", "[backend_registry]") {
  RegistryHarness harness;
  ServerRecord in_ariana = server(2, "listen", addressOf(2));
  in_ariana.zone = "ariana";
  harness.registry.onServer("a", server(1, "listen", addressOf(1)), 1, 1);
  harness.registry.onServer("b", in_ariana, 2, 2);
  const auto allowed = [&](std::uint64_t server_id) {
    const auto view = harness.upToDate();
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

TEST_CASE("a server that is warming up has its service's limit until that is over",
          "[backend_registry]") {
  RegistryHarness harness;
  RouteTable table{7, {{kListen, {{"listen", 1}}}}, {{"listen", 750}, {"ingest", 0}}};
  ServerRecord cold = server(1, "listen", addressOf(1));
  cold.warmup_left_ms = 1500;
  ServerRecord other = server(3, "ingest", addressOf(3));
  other.warmup_left_ms = 1500;
  harness.registry.onRoutes(table, 1);
  harness.registry.onServer("a", cold, 2, 2);
  harness.registry.onServer("b", server(2, "listen", addressOf(2)), 3, 3);
  harness.registry.onServer("c", other, 4, 4);
  const auto view = harness.upToDate();
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
  CHECK(harness.upToDate()->routeAt(kListen) != nullptr);
}

TEST_CASE("a missing server goes on until it is written again, retired or its address taken",
          "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onServer("backends/a", server(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onServerMissing("backends/a", 9);
  const auto is_retired = [&] { return harness.find(harness.upToDate(), 0xa)->retired; };
  CHECK_FALSE(is_retired());
  SECTION("written again") {
    harness.registry.onServer("backends/a", server(0xa, "listen", addressOf(1)), 10, 10);
    CHECK_FALSE(harness.registry.retireMissing());
    CHECK_FALSE(is_retired());
  }
  SECTION("still missing") {
    CHECK(harness.registry.retireMissing());
    CHECK(is_retired());
  }
  SECTION("found gone, and long forgotten when the missing ones are taken for gone") {
    harness.registry.onServerGone("backends/a", 10);
    CHECK(is_retired());
    harness.time.elapsed += kRetiredFor + seconds(1);
    CHECK(harness.registry.forgetRetired());
    CHECK_FALSE(harness.registry.retireMissing());
  }
  SECTION("another server has its address") {
    harness.registry.onServer("backends/b", server(0xb, "ingest", addressOf(1)), 10, 10);
    CHECK(is_retired());
  }
}

TEST_CASE("a server that is gone stays reachable and gets nothing new", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onServer("backends/a", server(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onServerGone("backends/a", 9);
  auto view = harness.upToDate();
  const Backend* backend = harness.find(view, 0xa);
  REQUIRE(backend != nullptr);
  CHECK(backend->retired);
  CHECK(view->backendsOf(backend->service).empty());
  CHECK(view->backendAt(addressOf(1)) == nullptr);

  harness.time.elapsed += kRetiredFor + seconds(1);
  CHECK(harness.registry.forgetRetired());
  view = harness.upToDate();
  CHECK(harness.find(view, 0xa) == nullptr);
}

TEST_CASE("a server that comes back to the platform is ready again", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onServer("backends/a", server(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onServerGone("backends/a", 9);
  harness.registry.onServer("backends/a", server(0xa, "listen", addressOf(1)), 12, 12);
  const auto view = harness.upToDate();
  CHECK_FALSE(harness.find(view, 0xa)->retired);
}

TEST_CASE("a draining server is kept as leaving", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onServer("backends/a", server(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onServer("backends/a",
                            server(0xa, "listen", addressOf(1), ServerState::Draining), 5, 3);
  CHECK(harness.find(harness.upToDate(), 0xa)->draining);
}

ServerRecord startedAt(std::uint64_t started_ms, ServerState state = ServerState::Ready) {
  ServerRecord record = server(0xa, "listen", addressOf(1), state);
  record.started_ms = started_ms;
  return record;
}

TEST_CASE("a later start under a known id is told as a restart, once", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onServer("backends/a", startedAt(1000, ServerState::Draining), 3, 3);
  CHECK(harness.registry.updateConfiguration().restarted.empty());
  const bool has_gone = GENERATE(false, true);
  if (has_gone) {
    harness.registry.onServerGone("backends/a", 4);
  }
  harness.registry.onServer("backends/a", startedAt(2000), 5, 3);
  const auto changes = harness.registry.updateConfiguration();
  CHECK(changes.restarted == std::vector<BackendId>{backendIdOfServer(0xa)});
  const Backend* backend = harness.find(harness.registry.configuration(), 0xa);
  CHECK_FALSE(backend->draining);
  CHECK_FALSE(backend->retired);
  harness.registry.onServer("backends/a", startedAt(2000), 6, 3);
  CHECK(harness.registry.updateConfiguration().restarted.empty());
}

TEST_CASE("an earlier run never comes back, whatever is written late", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onServer("backends/a", startedAt(2000), 3, 3);
  harness.registry.onServer("backends/a", startedAt(1000, ServerState::Draining), 7, 3);
  CHECK_FALSE(harness.find(harness.upToDate(), 0xa)->draining);
  harness.registry.onServer("backends/a", startedAt(2000, ServerState::Draining), 8, 3);
  CHECK(harness.find(harness.upToDate(), 0xa)->draining);
  CHECK(harness.registry.updateConfiguration().restarted.empty());
}

TEST_CASE("a record without a start is of the run that is known", "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onServer("backends/a", startedAt(0), 2, 2);
  harness.registry.onServer("backends/a", startedAt(2000), 3, 2);
  harness.registry.onServer("backends/a", startedAt(0, ServerState::Draining), 4, 2);
  CHECK(harness.registry.updateConfiguration().restarted.empty());
  CHECK(harness.find(harness.registry.configuration(), 0xa)->draining);
  harness.registry.onServer("backends/a", startedAt(1000), 5, 2);
  CHECK(harness.find(harness.upToDate(), 0xa)->draining);
}

TEST_CASE("a service that no configuration names takes no flow and no address",
          "[backend_registry]") {
  RegistryHarness harness;
  harness.registry.onRoutes({7, {{kListen, {{"listen", 1}}}}, {{"ingest", 0}}}, 1);
  harness.registry.onServer("backends/a", server(0xa, "listen", addressOf(1)), 3, 3);
  harness.registry.onServer("backends/b", server(0xb, "elsewhere", addressOf(1)), 4, 4);
  harness.registry.onServer("backends/c", server(0xc, "ingest", addressOf(3)), 5, 5);
  harness.registry.onServerGone("backends/a", 6);
  auto view = harness.upToDate();
  CHECK(harness.find(view, 0xa)->retired);
  CHECK(view->backendAt(addressOf(1)) == nullptr);
  CHECK(harness.find(view, 0xb) == nullptr);
  CHECK(harness.find(view, 0xc) != nullptr);
  // Named by a later configuration, and kept for its open flows when none names it any more.
  harness.registry.onRoutes({8, {{kListen, {{"elsewhere", 1}}}}}, 7);
  CHECK(harness.find(harness.upToDate(), 0xb) != nullptr);
  harness.registry.onRoutes({9, {{kListen, {{"listen", 1}}}}}, 8);
  CHECK(harness.find(harness.upToDate(), 0xb) != nullptr);
}

/** @return pairs of server ids that fold to the same id in tokens. */
std::vector<std::pair<std::uint64_t, std::uint64_t>> clashingServers(std::size_t drawn) {
  const auto random = makeSeededRandom(14);
  std::unordered_map<BackendId, std::uint64_t> by_fold;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> pairs;
  for (std::size_t index = 0; index < drawn; ++index) {
    const std::uint64_t id = random->next() >> 24;
    const auto [known, is_new] = by_fold.try_emplace(backendIdOfServer(id), id);
    if (!is_new && known->second != id) {
      pairs.emplace_back(known->second, id);
    }
  }
  return pairs;
}

TEST_CASE("two servers whose ids fold alike both get flows, on all balancers alike",
          "[backend_registry]") {
  const auto pairs = clashingServers(250'000);
  REQUIRE(pairs.size() >= 3);
  for (const auto& [older, newer] : pairs) {
    std::vector<ServerRecord> fleet = {server(older, "listen", addressOf(1)),
                                       server(newer, "listen", addressOf(2))};
    for (std::uint32_t index = 0; index < 1000; ++index) {
      fleet.push_back(server(0x100000 + index, "listen", addressOf(3 + index)));
    }
    for (const bool newer_first : {false, true}) {
      RegistryHarness harness;
      std::vector<std::size_t> order(fleet.size());
      std::iota(order.begin(), order.end(), std::size_t{0});
      if (newer_first) {
        std::swap(order[0], order[1]);
      }
      for (const std::size_t index : order) {
        harness.registry.onServer("backends/" + fleet[index].name, fleet[index], 10 + index,
                                  10 + index);
        harness.upToDate();
      }
      const auto view = harness.upToDate();
      REQUIRE(harness.find(view, older) != nullptr);
      CHECK(harness.find(view, older)->server_id == older);
      const Backend* second = view->backend(fallbackBackendIdOfServer(newer));
      REQUIRE(second != nullptr);
      CHECK(second->server_id == newer);
      CHECK(view->backendsOf(second->service).size() == fleet.size());
      // The newer one keeps its id after the older one is forgotten: its open flows go on.
      harness.registry.onServerGone("backends/" + fleet[0].name, 5000);
      harness.time.elapsed += kRetiredFor + seconds(1);
      harness.registry.forgetRetired();
      CHECK(harness.upToDate()->backend(fallbackBackendIdOfServer(newer))->server_id == newer);
    }
  }
}

}  // namespace
}  // namespace lugfork
