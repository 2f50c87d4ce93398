#pragma once

#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "common/result.h"

/** What a platform tells of routes and servers, in the product's own terms. */
namespace lugfork {

/** What a server says of itself. */
enum class BackendState : std::uint8_t { Ready, Draining, Last = Draining };

/** A running server, as it announces itself. */
struct BackendRecord {
  /** Its id on the platform; a server may start again under the same one. */
  std::uint64_t server_id = 0;
  /**
   * When it was started [Unix ms]; 0 where that is not told. A later start under one id is another
   * run, which knows nothing of the earlier one's flows.
   */
  std::uint64_t started_ms = 0;
  /** The platform's text for the id, for logs. */
  std::string name;
  std::string service;
  Endpoint address;
  std::string zone;
  /** Requests that it works on at a time. */
  std::uint32_t slots = 1;
  BackendState state = BackendState::Ready;
  /** Time for which it is still slow after its start [ms]. */
  std::uint32_t warmup_left_ms = 0;
  /** The name is the end of the item's key; the start goes beside the record (record_codec.h). */
  auto fields() {
    return std::tie(server_id, service, address, zone, slots, state, warmup_left_ms);
  }
};

/** Service that takes a share of a route's new flows. */
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
  auto fields() { return std::tie(service, weight); }
};

struct RouteRecord {
  Endpoint address;
  std::vector<WeightedService> services;
  /** Callers send large requests. */
  bool bulk = false;
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  /** Time within which an answer is of full use [ms]; 0 where that is not told. */
  std::uint32_t target_ms = 0;
  /** Time after which the caller has given up [ms]; 0 where that is not told. */
  std::uint32_t timeout_ms = 0;
  /** Balancers from before the last three fields wrote the others only. */
  static constexpr std::size_t kRequiredFieldCount = 3;
  auto fields() { return std::tie(address, services, bulk, priority, target_ms, timeout_ms); }
};

/** A service that the configuration names, and what its servers bear while they are cold. */
struct ServiceWarmup {
  std::string service;
  /**
   * New flows a minute, rounded down; a whole number, since records hold no fractions. 0 for no
   * limit.
   */
  std::uint32_t flows_per_minute = 0;
  auto fields() { return std::tie(service, flows_per_minute); }
  bool operator==(const ServiceWarmup&) const = default;
};

/** The operator's whole set of routes. */
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<RouteRecord> routes;
  /** All services that the configuration names. */
  std::vector<ServiceWarmup> warmups = {};
  auto fields() { return std::tie(version, routes, warmups); }
};

/**
 * The operator has taken a zone out of service, for as long as the item is there: its servers get
 * no new flow, and open flows stay.
 */
struct ZoneOutOfService {
  std::string zone;
  auto fields() { return std::tie(zone); }
};

/** Item of a kind that balancers have no use for. */
struct IrrelevantItem {
  auto fields() { return std::tie(); }
};

/** An item can't be read: why, in words. */
struct RecordProblem {
  std::string text;
  auto fields() { return std::tie(text); }
};

using PlatformRecord = std::variant<IrrelevantItem, BackendRecord, RouteTable, ZoneOutOfService>;

/**
 * Reads the values of items. Each platform's adapter has one for what the platform writes; within
 * the fleet values have the compact form of wire/record_codec.h.
 */
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;
  virtual Result<PlatformRecord, RecordProblem> decode(const std::string& key,
                                                       const std::string& value) const = 0;
};

}  // namespace lugfork
