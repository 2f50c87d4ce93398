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

/** Expected state of one backend in the reference model. */
struct ExpectedBackend {
  BackendRecord record;
  Revision created = 0;
  bool retired = false;
  Duration retired_at{};
  bool missing = false;
};

/** A registry and a reference model, from which each check derives the expected state. */
struct RegistryHarness {
  std::uint32_t below(std::uint32_t bound) {
    return static_cast<std::uint32_t>(random->below(bound));
  }

  void write(const std::string& key, std::uint64_t server_id) {
    BackendRecord record;
    record.server_id = server_id;
    record.name = key;
    record.service = kServices[below(3)];
    record.zone = kZones[below(3)];
    record.address = addressOf(below(20));
    record.slots = 1 + below(3);
    record.state = below(4) == 0 ? BackendState::Draining : BackendState::Ready;
    record.warmup_left_ms = below(3) == 0 ? 1500 : 0;
    const auto found = expected_backends.find(key);
    const Revision created = found == expected_backends.end() ? revision : found->second.created;
    registry.onBackend(key, record, revision, created);
    expected_backends[key] = {record, created, false, {}, false};
    for (auto& [other_key, other] : expected_backends) {
      if (other.missing && other.record.address == record.address) {
        retire(other);
      }
    }
  }

  void retire(ExpectedBackend& expected) const {
    expected.retired = true;
    expected.retired_at = time.elapsed;
    expected.missing = false;
  }

  void applyRandomChange() {
    ++revision;
    time.elapsed += milliseconds(below(4000));
    const std::uint32_t number = below(30);
    const std::string key = "endpoints/" + std::to_string(number);
    const auto found = expected_backends.find(key);
    const bool is_present = found != expected_backends.end() && !found->second.retired;
    switch (below(8)) {
      case 0:
        registry.onBackendDeleted(key, revision);
        if (is_present) {
          retire(found->second);
        }
        break;
      case 1:
        registry.onBackendMissing(key, revision);
        if (is_present) {
          found->second.missing = true;
        }
        break;
      case 2:
        registry.retireMissing();
        for (auto& [other_key, other] : expected_backends) {
          if (other.missing) {
            retire(other);
          }
        }
        break;
      case 3:
        registry.pruneRetired();
        std::erase_if(expected_backends, [this](const auto& entry) {
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
        if (zones_out_of_service.erase(kZones[number % 3]) > 0) {
          registry.onZoneBackInService("zones/" + kZones[number % 3], revision);
        } else {
          zones_out_of_service.insert(kZones[number % 3]);
          registry.onZoneOutOfService("zones/" + kZones[number % 3], {kZones[number % 3]},
                                      revision);
        }
        break;
      default:
        // Some backends share the id that is encoded in tokens.
        write(key, (std::uint64_t{number} << 32) + (number % 10 == 0 ? 1 + number : 5000));
    }
  }

  /** @return the oldest backend for each id. */
  std::map<BackendId, const ExpectedBackend*> owners() const {
    std::map<BackendId, const ExpectedBackend*> owners;
    for (const auto& [key, expected] : expected_backends) {
      const auto [entry, is_first] =
          owners.try_emplace(backendIdOfServer(expected.record.server_id), &expected);
      if (!is_first && expected.created < entry->second->created) {
        entry->second = &expected;
      }
    }
    return owners;
  }

  void checkBackend(const Backend& backend, const ExpectedBackend& expected) const {
    const bool is_cold = expected.record.warmup_left_ms > 0 &&
                         expected.record.service == "listen" && !routes.warmups.empty();
    CHECK(backend.name == expected.record.name);
    CHECK(backend.address == expected.record.address);
    CHECK(backend.slots == expected.record.slots);
    CHECK(backend.retired == expected.retired);
    CHECK(backend.draining == (expected.record.state == BackendState::Draining));
    CHECK(view->service(backend.service)->name == expected.record.service);
    CHECK(view->zone(backend.zone)->name == expected.record.zone);
    CHECK(backend.cold_flows_per_second ==
          (is_cold ? routes.warmups[0].flows_per_minute / 60.0 : 0));
    CHECK(view->service(backend.service)->allowsZone(backend.zone) ==
          !zones_out_of_service.contains(expected.record.zone));
  }

  void checkAll() const {
    std::map<std::string, std::size_t> placeable_count;
    std::map<Endpoint, std::size_t> address_count;
    const auto owner_by_id = owners();
    for (const auto& [id, expected] : owner_by_id) {
      REQUIRE(view->backend(id) != nullptr);
      checkBackend(*view->backend(id), *expected);
      placeable_count[expected->record.service] += expected->retired ? 0 : 1;
      address_count[expected->record.address] += expected->retired ? 0 : 1;
    }
    std::size_t listed_count = 0;
    for (const Service& service : view->document().services) {
      CHECK(view->backendsOf(service.id).size() == placeable_count[service.name]);
      for (const Backend* backend : view->backendsOf(service.id)) {
        REQUIRE(owner_by_id.contains(backend->id));
        CHECK(view->backend(backend->id) == backend);
        ++listed_count;
      }
    }
    CHECK(listed_count ==
          placeable_count["listen"] + placeable_count["ingest"] + placeable_count["archive"]);
    for (std::uint32_t number = 0; number < 20; ++number) {
      const Backend* at = view->backendAt(addressOf(number));
      CHECK((at != nullptr) == (address_count[addressOf(number)] > 0));
      CHECK((at == nullptr || at->address == addressOf(number)));
    }
    CHECK((view->routeAt(kListen) != nullptr) == !routes.routes.empty());
    if (!routes.routes.empty()) {
      CHECK(view->service(view->routeAt(kListen)->targets[0].service)->name ==
            routes.routes[0].services[0].service);
    }
  }

  ManualTimeSource time;
  NullEventLog log;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(11);
  BackendRegistry registry{kRetiredFor, time, log};
  const ConfigurationViewPtr view = registry.configuration();
  std::map<std::string, ExpectedBackend> expected_backends;
  std::set<std::string> zones_out_of_service;
  RouteTable routes;
  Revision revision = 0;
};

TEST_CASE("a configuration updated by increments equals one built from the whole state",
          "[live_configuration]") {
  RegistryHarness harness;
  for (int step = 0; step < 3000; ++step) {
    harness.applyRandomChange();
    if (harness.below(3) == 0) {
      harness.registry.updateConfiguration();
      harness.checkAll();
    }
  }
}

TEST_CASE("a backend keeps its address in memory while it changes, and is returned on removal",
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

TEST_CASE("a shared address is free only once both backends are removed or retired",
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
