#pragma once

#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "common/result.h"

/** Typed records of routes, backends and zones, independent of the platform's format. */
namespace lugfork {

/** State that a backend announces. */
enum class BackendState : std::uint8_t { Ready, Draining, Last = Draining };

/** A running backend, as it announces itself. */
struct BackendRecord {
  /** Its id on the platform; a backend may restart under the same id. */
  std::uint64_t server_id = 0;
  /**
   * Start time [Unix ms]; 0 if not given. A later start under the same id is a new incarnation,
   * which has no state of the earlier one's flows.
   */
  std::uint64_t started_ms = 0;
  /** The platform's text form of the id, for logs. */
  std::string name;
  std::string service;
  Endpoint address;
  std::string zone;
  /** Number of requests that it processes concurrently. */
  std::uint32_t slots = 1;
  BackendState state = BackendState::Ready;
  /** Remaining warm-up time after its start [ms]. */
  std::uint32_t warmup_left_ms = 0;
  /**
   * The name is the last part of the item's key; the start time is encoded next to the record
   * (record_codec.h).
   */
  auto fields() {
    return std::tie(server_id, service, address, zone, slots, state, warmup_left_ms);
  }
};

/** A service of a route, and its weight in the distribution of the route's new flows. */
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
  auto fields() { return std::tie(service, weight); }
};

struct RouteRecord {
  Endpoint address;
  std::vector<WeightedService> services;
  /** Clients send large requests. */
  bool bulk = false;
  /** 0 is the highest priority. */
  std::uint32_t priority = 0;
  /** Target response time [ms]; 0 if not given. */
  std::uint32_t target_ms = 0;
  /** Time after which the client gives up [ms]; 0 if not given. */
  std::uint32_t timeout_ms = 0;
  /** The last three fields are missing in records of older balancer versions. */
  static constexpr std::size_t kRequiredFieldCount = 3;
  auto fields() { return std::tie(address, services, bulk, priority, target_ms, timeout_ms); }
};

/** A service that the configuration names, and the limit of new flows for its cold backends. */
struct ServiceWarmup {
  std::string service;
  /**
   * New flows per minute and backend, rounded down to an integer since records hold no fractions.
   * 0 for no limit.
   */
  std::uint32_t flows_per_minute = 0;
  auto fields() { return std::tie(service, flows_per_minute); }
  bool operator==(const ServiceWarmup&) const = default;
};

/** The complete set of configured routes. */
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<RouteRecord> routes;
  /** All services that the configuration names. */
  std::vector<ServiceWarmup> warmups = {};
  auto fields() { return std::tie(version, routes, warmups); }
};

/**
 * A zone is out of service for as long as the item exists: its backends get no new flows and keep
 * their open ones.
 */
struct ZoneOutOfService {
  std::string zone;
  auto fields() { return std::tie(zone); }
};

/** An item of a kind that balancers don't use. */
struct IrrelevantItem {
  auto fields() { return std::tie(); }
};

/** The reason, as readable text, why an item can't be decoded. */
struct RecordProblem {
  std::string text;
  auto fields() { return std::tie(text); }
};

using PlatformRecord = std::variant<IrrelevantItem, BackendRecord, RouteTable, ZoneOutOfService>;

/**
 * Decodes the values of items. Each platform adapter has a decoder for the platform's format;
 * between balancers, values have the compact form of wire/record_codec.h.
 */
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;
  virtual Result<PlatformRecord, RecordProblem> decode(const std::string& key,
                                                       const std::string& value) const = 0;
};

}  // namespace lugfork
