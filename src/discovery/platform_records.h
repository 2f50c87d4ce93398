#pragma once

#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "common/result.h"

/** What a platform tells of routes and servers, in the product's own terms. */
namespace lugfork {

/** What a server says of itself. */
enum class ServerState { Ready, Draining };

/** One start of a server, as it announces itself. */
struct ServerRecord {
  /** Unique to this start. */
  std::uint64_t incarnation = 0;
  /** The platform's text for the incarnation, for logs. */
  std::string name;
  std::string service;
  Endpoint address;
  std::string zone;
  /** Requests that it works on at a time. */
  std::uint32_t slots = 1;
  ServerState state = ServerState::Ready;
  /** Time for which it is still slow after its start [ms]. */
  std::uint32_t warmup_left_ms = 0;
};

/** Service that takes a share of a route's new flows. */
struct RouteShare {
  std::string service;
  std::uint32_t weight = 1;
};

struct RouteRecord {
  Endpoint address;
  std::vector<RouteShare> shares;
  /** Callers send large requests. */
  bool bulk = false;
};

/** The operator's whole set of routes. */
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<RouteRecord> routes;
};

/** Item of a kind that balancers have no use for. */
struct IrrelevantItem {};

/** An item can't be read: why, in words. */
struct RecordProblem {
  std::string text;
};

using PlatformRecord = std::variant<IrrelevantItem, ServerRecord, RouteTable>;

/** Reads the platform's items; each platform's adapter implements it. */
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;
  virtual Result<PlatformRecord, RecordProblem> decode(const std::string& key,
                                                       const std::string& value) const = 0;
};

}  // namespace lugfork
