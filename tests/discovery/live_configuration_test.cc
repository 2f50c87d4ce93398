#include "config/live_configuration.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "discovery/backend_registry.h"
#include "flow/compact_token.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Duration kRetiredFor = seconds(60);
const std::vector<std::string> kServices = {"listen", "ingest", "archive"};
const std::vector<std::string> kZones = {"lac", "ariana", "manouba"};

/** What a registry is to know, kept in the plainest form. */
struct KnownServer {
  ServerRecord record;
  Revision created = 0;
  bool retired = false;
  Duration retired_at{};
  bool missing = false;
};

/** A registry and a plain list of what it was told, from which the whole is made for each check. */
struct RegistryPair {
  std::uint32_t below(std::uint32_t bound) {
    return static_cast<std::uint32_t>(random->below(bound));
  }

  void write(const std::string& key, std::uint64_t server_id) {
    ServerRecord record;
    record.server_id = server_id;
    record.name = key;
    record.service = kServices[below(3)];
    record.zone = kZones[below(3)];
    record.address = addressOf(below(20));
    record.slots = 1 + below(3);
    record.state = below(4) == 0 ? ServerState::Draining : ServerState::Ready;
    record.warmup_left_ms = below(3) == 0 ? 1500 : 0;
    const auto known = servers.find(key);
    const Revision created = known == servers.end() ? revision : known->second.created;
    registry.onServer(key, record, revision, created);
    servers[key] = {record, created, false, {}, false};
    for (auto& [other_key, other] : servers) {
      if (other.missing && other.record.address == record.address) {
        retire(other);
      }
    }
  }

  void retire(KnownServer& server) const {
    server.retired = true;
    server.retired_at = time.elapsed;
    server.missing = false;
  }

  void anyChange() {
    ++revision;
    time.elapsed += milliseconds(below(4000));
    const std::uint32_t number = below(30);
    const std::string key = "endpoints/" + std::to_string(number);
    const auto known = servers.find(key);
    const bool is_there = known != servers.end() && !known->second.retired;
    switch (below(8)) {
      case 0:
        registry.onServerGone(key, revision);
        if (is_there) {
          retire(known->second);
        }
        break;
      case 1:
        registry.onServerMissing(key, revision);
        if (is_there) {
          known->second.missing = true;
        }
        break;
      case 2:
        registry.retireMissing();
        for (auto& [other_key, other] : servers) {
          if (other.missing) {
            retire(other);
          }
        }
        break;
      case 3:
        registry.forgetRetired();
        std::erase_if(servers, [this](const auto& entry) {
          return entry.second.retired && time.elapsed - entry.second.retired_at > kRetiredFor;
        });
        break;
      case 4:
        routes = {revision,
                  {{kListen, {{kServices[below(3)], 1}}}},
                  {{"listen", 60 + below(2)}, {"ingest", 0}, {"archive", 0}}};
        registry.onRoutes(routes, revision);
        break;
      case 5:
        if (zones_out.erase(kZones[number % 3]) > 0) {
          registry.onZoneBackInService("zones/" + kZones[number % 3], revision);
        } else {
          zones_out.insert(kZones[number % 3]);
          registry.onZoneOutOfService("zones/" + kZones[number % 3], {kZones[number % 3]},
                                      revision);
        }
        break;
      default:
        // Two servers in a few share the id that goes into tokens.
        write(key, (std::uint64_t{number} << 32) + (number % 10 == 0 ? 1 + number : 5000));
    }
  }

  /** @return for each id the oldest server that has it. */
  std::map<BackendId, const KnownServer*> owners() const {
    std::map<BackendId, const KnownServer*> owners;
    for (const auto& [key, server] : servers) {
      const auto [entry, is_first] =
          owners.try_emplace(backendIdOfServer(server.record.server_id), &server);
      if (!is_first && server.created < entry->second->created) {
        entry->second = &server;
      }
    }
    return owners;
  }

  void checkBackend(const Backend& backend, const KnownServer& server) const {
    const bool is_cold = server.record.warmup_left_ms > 0 && server.record.service == "listen" &&
                         !routes.warmups.empty();
    CHECK(backend.name == server.record.name);
    CHECK(backend.address == server.record.address);
    CHECK(backend.slots == server.record.slots);
    CHECK(backend.retired == server.retired);
    CHECK(backend.draining == (server.record.state == ServerState::Draining));
    CHECK(view->service(backend.service)->name == server.record.service);
    CHECK(view->zone(backend.zone)->name == server.record.zone);
    CHECK(backend.cold_flows_per_second ==
          (is_cold ? routes.warmups[0].flows_per_minute / 60.0 : 0));
    CHECK(view->service(backend.service)->allowsZone(backend.zone) ==
          !zones_out.contains(server.record.zone));
  }

  void checkAll() const {
    std::map<std::string, std::size_t> placeable;
    std::map<Endpoint, std::size_t> addresses;
    const auto owned = owners();
    for (const auto& [id, server] : owned) {
      REQUIRE(view->backend(id) != nullptr);
      checkBackend(*view->backend(id), *server);
      placeable[server->record.service] += server->retired ? 0 : 1;
      addresses[server->record.address] += server->retired ? 0 : 1;
    }
    std::size_t listed = 0;
    for (const Service& service : view->document().services) {
      CHECK(view->backendsOf(service.id).size() == placeable[service.name]);
      for (const Backend* backend : view->backendsOf(service.id)) {
        REQUIRE(owned.contains(backend->id));
        CHECK(view->backend(backend->id) == backend);
        ++listed;
      }
    }
    CHECK(listed == placeable["listen"] + placeable["ingest"] + placeable["archive"]);
    for (std::uint32_t number = 0; number < 20; ++number) {
      const Backend* at = view->backendAt(addressOf(number));
      CHECK((at != nullptr) == (addresses[addressOf(number)] > 0));
      CHECK((at == nullptr || at->address == addressOf(number)));
    }
    CHECK((view->routeAt(kListen) != nullptr) == !routes.routes.empty());
    if (!routes.routes.empty()) {
      CHECK(view->service(view->routeAt(kListen)->targets[0].service)->name ==
            routes.routes[0].shares[0].service);
    }
  }

  ManualTimeSource time;
  NullEventLog log;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(11);
  BackendRegistry registry{kRetiredFor, time, log};
  const ConfigurationViewPtr view = registry.configuration();
  std::map<std::string, KnownServer> servers;
  std::set<std::string> zones_out;
  RouteTable routes;
  Revision revision = 0;
};

TEST_CASE("a configuration that is kept up to date is that made of all that is known",
          "[live_configuration]") {
  RegistryPair pair;
  for (int step = 0; step < 3000; ++step) {
    pair.anyChange();
    if (pair.below(3) == 0) {
      pair.registry.updateConfiguration();
      pair.checkAll();
    }
  }
}

TEST_CASE("a back end stays where it is while it changes, and is kept until all let go of it",
          "[live_configuration]") {
  LiveConfiguration configuration;
  const Backend* first = configuration.put(makeBackend(1, ServiceId(1), kLac));
  Backend draining = makeBackend(1, ServiceId(2), kLac);
  draining.draining = true;
  CHECK(configuration.put(draining) == first);
  CHECK(first->draining);
  CHECK(configuration.backendsOf(ServiceId(1)).empty());
  CHECK(configuration.backendsOf(ServiceId(2)) == std::vector<const Backend*>{first});
  const auto removed = configuration.extract(BackendId(1));
  CHECK(removed.get() == first);
  CHECK(configuration.backend(BackendId(1)) == nullptr);
  CHECK(configuration.backendAt(addressOf(1)) == nullptr);
  CHECK(configuration.extract(BackendId(1)) == nullptr);
}

TEST_CASE("a retired back end's address is free, that of two is taken until both are gone",
          "[live_configuration]") {
  LiveConfiguration configuration;
  Backend second = makeBackend(2, ServiceId(1), kLac);
  second.address = addressOf(1);
  configuration.put(makeBackend(1, ServiceId(1), kLac));
  configuration.put(second);
  configuration.extract(BackendId(1));
  REQUIRE(configuration.backendAt(addressOf(1)) != nullptr);
  CHECK(configuration.backendAt(addressOf(1))->id == BackendId(2));
  second.retired = true;
  configuration.put(second);
  CHECK(configuration.backendAt(addressOf(1)) == nullptr);
  CHECK(configuration.backend(BackendId(2)) != nullptr);
}

}  // namespace
}  // namespace lugfork
