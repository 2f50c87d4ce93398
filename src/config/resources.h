#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "common/ids.h"
#include "common/time_source.h"

/** Resources declared by operators. */
namespace lugfork {

/** Failure domain that contains balancers and backends. */
struct Zone {
  ZoneId id;
  std::string name;
  std::string region;
  auto fields() { return std::tie(id, name, region); }
  bool operator==(const Zone&) const = default;
};

/** Service that clients address, and the zones whose backends may serve it. */
struct Service {
  ServiceId id;
  std::string name;
  Endpoint address;
  std::vector<ZoneId> allowed_zones;
  auto fields() { return std::tie(id, name, address, allowed_zones); }
  bool operator==(const Service&) const = default;

  bool allowsZone(ZoneId zone) const;
};

/** One backend of a service. */
struct Backend {
  BackendId id;
  std::string name;
  ServiceId service;
  ZoneId zone;
  /** Destination of forwarded datagrams (UDP). */
  Endpoint address;
  /** Endpoint that reports health and load (HTTP). */
  Endpoint probe_address;
  /** Maximum number of concurrent requests. */
  std::uint32_t slots = 0;
  /** Maximum number of open flows. */
  std::uint32_t connections = 0;
  /** Declared as draining: established flows continue, no new flows are placed. */
  bool draining = false;
  /** No longer declared: still reachable, but only for flows that are already established. */
  bool retired = false;
  /** End of the warm-up after its start, until which it gets fewer flows; unset if warm. */
  MonotonicTime cold_until;
  /** Maximum rate of new flows while cold [1/s]; 0 for no limit. */
  double cold_flows_per_second = 0;
  /** Id in the platform's store; 0 if there is none. */
  std::uint64_t server_id = 0;
  /** Fields that are part of documents and of messages between balancers. */
  auto fields() {
    return std::tie(id, name, service, zone, address, probe_address, slots, connections, draining);
  }
  bool operator==(const Backend&) const = default;
};

inline constexpr std::size_t kTokenSecretBytes = 32;

/** Key that seals or verifies placement tokens. */
struct TokenKey {
  KeyId id;
  std::array<std::uint8_t, kTokenSecretBytes> secret{};
  /** True for the key that seals new tokens; all others only verify. Exactly one key seals. */
  bool seals = false;
  auto fields() { return std::tie(id, secret, seals); }
  bool operator==(const TokenKey&) const = default;
};

/** A service that gets part of a route's new flows. */
struct RouteTarget {
  ServiceId service;
  /** Weight relative to the route's other targets. */
  std::uint32_t weight = 1;
  bool operator==(const RouteTarget&) const = default;
};

/** Priority and time limits that the operator declares for the requests on a route. */
struct RequestClass {
  /** 0 is the highest priority. */
  std::uint32_t priority = 0;
  /** Time within which an answer is of full use to the client; zero if not declared. */
  Duration target{};
  /** Time after which the client gives up; zero if not declared. */
  Duration timeout{};
  bool operator==(const RequestClass&) const = default;
};

/** Address used by clients, and the services that get its new flows. */
struct Route {
  Endpoint address;
  std::vector<RouteTarget> targets;
  /** Clients send large requests, for which traffic between zones is expensive. */
  bool bulk = false;
  RequestClass request_class = {};
  bool operator==(const Route&) const = default;

  /** @return the service of a flow, the same on every balancer; nullopt if all weights are 0. */
  std::optional<ServiceId> serviceFor(std::uint64_t flow_hash) const;
};

/** One version of the full declared configuration. */
struct Configuration {
  ConfigVersion version;
  std::string system;
  std::vector<Zone> zones;
  std::vector<Service> services;
  std::vector<Backend> backends;
  std::vector<TokenKey> keys;
  /** Routes in addition to those implied by the services' addresses. */
  std::vector<Route> routes;
  bool operator==(const Configuration&) const = default;
};

}  // namespace lugfork
