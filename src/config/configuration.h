#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/time_source.h"

/** Resources that operators declare, and an immutable indexed view of one document. */
namespace lugfork {

/** Place that holds balancers and back ends and fails as one. */
struct Zone {
  ZoneId id;
  std::string name;
  std::string region;
  auto fields() { return std::tie(id, name, region); }
  bool operator==(const Zone&) const = default;
};

/** What callers address, and the zones that may serve it. */
struct Service {
  ServiceId id;
  std::string name;
  Endpoint address;
  std::vector<ZoneId> allowed_zones;
  auto fields() { return std::tie(id, name, address, allowed_zones); }
  bool operator==(const Service&) const = default;

  bool allowsZone(ZoneId zone) const;
};

/** One server of a service. */
struct Backend {
  BackendId id;
  std::string name;
  ServiceId service;
  ZoneId zone;
  /** Where forwarded datagrams go (UDP). */
  Endpoint address;
  /** Where health and load are read (HTTP). */
  Endpoint probe_address;
  /** Requests that it works on at a time. */
  std::uint32_t slots = 0;
  /** Flows that it holds open at a time. */
  std::uint32_t connections = 0;
  /** Declared to be leaving: established flows go on, nothing new is placed. */
  bool draining = false;
  /** No longer declared: reachable for the flows that it may still hold, and nothing else. */
  bool retired = false;
  /** Until then it is warming up after its start and bears fewer flows; unset for warm. */
  MonotonicTime cold_until;
  /** New flows a second that it bears while cold; 0 where no limit is told. */
  double cold_flows_per_second = 0;
  /** Identifies this start of the server where the platform tells it; else 0. */
  std::uint64_t incarnation = 0;
  /** What goes into documents and between balancers. */
  auto fields() {
    return std::tie(id, name, service, zone, address, probe_address, slots, connections, draining);
  }
  bool operator==(const Backend&) const = default;
};

inline constexpr std::size_t kTokenSecretBytes = 32;

/** Key that seals placement tokens. */
struct TokenKey {
  KeyId id;
  std::array<std::uint8_t, kTokenSecretBytes> secret{};
  /** The key that seals new tokens; the others only verify. Exactly one key has this. */
  bool seals = false;
  auto fields() { return std::tie(id, secret, seals); }
  bool operator==(const TokenKey&) const = default;
};

/** Part of a route's new flows that a service gets. */
struct RouteTarget {
  ServiceId service;
  /** Share of new flows, relative to the route's other targets. */
  std::uint32_t weight = 1;
  bool operator==(const RouteTarget&) const = default;
};

/** Address that callers use, and the services that take its new flows. */
struct Route {
  Endpoint address;
  std::vector<RouteTarget> targets;
  /** Callers send large requests: what crosses zones is dear. */
  bool bulk = false;
  bool operator==(const Route&) const = default;

  /** @return the service of a flow, the same on every balancer; nothing without any weight. */
  std::optional<ServiceId> serviceFor(std::uint64_t flow_hash) const;
};

/** One version of the whole declared configuration. */
struct Configuration {
  ConfigVersion version;
  std::string system;
  std::vector<Zone> zones;
  std::vector<Service> services;
  std::vector<Backend> backends;
  std::vector<TokenKey> keys;
  /** Routes besides the one that each service's own address makes. */
  std::vector<Route> routes;
  bool operator==(const Configuration&) const = default;
};

/** Immutable, indexed configuration. Shared between modules by pointer. */
class ConfigurationView {
 public:
  explicit ConfigurationView(Configuration configuration);

  const Configuration& document() const { return document_; }
  ConfigVersion version() const { return document_.version; }

  /** @return the resource, or nullptr where none has that id, name or address. */
  const Service* serviceAt(Endpoint address) const;
  const Route* routeAt(Endpoint address) const;
  const Service* service(ServiceId id) const;
  const Backend* backend(BackendId id) const;
  const Backend* backendAt(Endpoint address) const;
  const Zone* zoneNamed(const std::string& name) const;
  const Zone* zone(ZoneId id) const;
  const TokenKey* key(KeyId id) const;

  /** @return the key that seals new tokens, or nullptr in an empty configuration. */
  const TokenKey* sealingKey() const { return sealing_key_; }

  /** @return the back ends declared for a service, in the document's order; none is retired. */
  const std::vector<const Backend*>& backendsOf(ServiceId service) const;

 private:
  Configuration document_;
  std::unordered_map<Endpoint, const Service*> services_by_address_;
  std::unordered_map<Endpoint, Route> routes_;
  std::unordered_map<ServiceId, const Service*> services_;
  std::unordered_map<BackendId, const Backend*> backends_;
  std::unordered_map<Endpoint, const Backend*> backends_by_address_;
  std::unordered_map<ServiceId, std::vector<const Backend*>> backends_by_service_;
  std::unordered_map<ZoneId, const Zone*> zones_;
  std::unordered_map<KeyId, const TokenKey*> keys_;
  const TokenKey* sealing_key_ = nullptr;
  std::vector<const Backend*> no_backends_;
};

using ConfigurationViewPtr = std::shared_ptr<const ConfigurationView>;

}  // namespace lugfork
