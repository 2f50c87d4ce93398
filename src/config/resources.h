#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "common/ids.h"
#include "common/time_source.h"

/** Resources that operators declare. */
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
  /** New flows a second that it bears while cold; 0 for no limit. */
  double cold_flows_per_second = 0;
  /** The id by which the platform knows it, where there is one; else 0. */
  std::uint64_t server_id = 0;
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

/** What the operator says of the requests that callers send on a route. */
struct RequestClass {
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  /** Time within which an answer is of full use to its caller; zero where that is not told. */
  Duration target{};
  /** Time after which the caller has given up; zero where that is not told. */
  Duration timeout{};
  bool operator==(const RequestClass&) const = default;
};

/** Address that callers use, and the services that take its new flows. */
struct Route {
  Endpoint address;
  std::vector<RouteTarget> targets;
  /** Callers send large requests, for which traffic between zones is expensive. */
  bool bulk = false;
  RequestClass request_class = {};
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

}  // namespace lugfork
