#include "discovery/backend_registry.h"

#include <catch2/catch.hpp>

#include "flow/compact_token.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Duration kRetiredFor = seconds(60);

ServerRecord server(std::uint64_t incarnation, const std::string& service, Endpoint address,
                    ServerState state = ServerState::Ready) {
  ServerRecord record;
  record.incarnation = incarnation;
  record.name = "i-" + std::to_string(incarnation);
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

  const Backend* find(const ConfigurationViewPtr& view, std::uint64_t incarnation) const {
    return view->backend(backendIdOfIncarnation(incarnation));
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
  const auto allowed = [&](std::uint64_t incarnation) {
    const auto view = harness.upToDate();
    const Backend* backend = harness.find(view, incarnation);
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
  RouteTable table{7, {{kListen, {{"listen", 1}}}}, {{"listen", 750}}};
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

}  // namespace
}  // namespace lugfork
