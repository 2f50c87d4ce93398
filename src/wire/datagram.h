#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"

/**
 * Datagrams of the data path, exchanged over UDP between clients, balancers and backends.
 *
 * fields() of a struct lists its encoded fields in wire order; the codec packs a datagram as one
 * msgpack array. The index of a type in the Datagram variant is its type number on the wire, so new
 * types are appended.
 */
namespace lugfork {

using Bytes = std::vector<std::uint8_t>;

/** Maximum size of a datagram [bytes]; fits an Ethernet frame without IP fragmentation. */
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/** Maximum payload of one Data or Answer datagram [bytes]. */
inline constexpr std::size_t kMaxPayloadBytes = 1000;

/** Sealed placement token in its wire format (see flow/token.h). */
using TokenBytes = Bytes;

/** Reason of a refusal or a reset. The numeric values are part of the protocol. */
enum class Reason : std::uint8_t {
  None = 0,
  NoBackendInAllowedZones = 1,
  Overloaded = 2,
  Draining = 3,
  ViewNotFresh = 4,
  UnknownService = 5,
  TokenInvalid = 6,
  TokenForOtherService = 7,
  PlacementExpired = 8,
  ZoneNotAllowed = 9,
  BackendGone = 10,
  DeadlineExceeded = 11,
  Cancelled = 12,
  WrongBackend = 13,
  Joining = 14,
  Last = Joining,
};

/** Placement request of a client. Carries no request data. */
struct Open {
  Endpoint service;
  FlowKey key;
  auto fields() { return std::tie(service, key); }
};

/** Balancer's reply to an Open: the sealed placement. */
struct Placed {
  FlowKey key;
  TokenBytes token;
  auto fields() { return std::tie(key, token); }
};

/** One segment of a request, from the client to the backend named in the token. */
struct Data {
  Endpoint service;
  FlowKey key;
  TokenBytes token;
  std::uint32_t sequence = 0;
  bool last = false;
  /** Time for which the client still waits for the complete answer [ms]; 0 for no limit. */
  std::uint32_t deadline_ms = 0;
  Bytes payload;
  auto fields() { return std::tie(service, key, token, sequence, last, deadline_ms, payload); }
};

/** Client acknowledges all answer segments below next_expected; also keeps the flow alive. */
struct AnswerAck {
  Endpoint service;
  FlowKey key;
  TokenBytes token;
  std::uint32_t next_expected = 0;
  auto fields() { return std::tie(service, key, token, next_expected); }
};

/** Client cancels the request and expects no further answer. */
struct Cancel {
  Endpoint service;
  FlowKey key;
  TokenBytes token;
  auto fields() { return std::tie(service, key, token); }
};

/** Backend acknowledges all request segments below next_expected. */
struct DataAck {
  FlowKey key;
  std::uint32_t next_expected = 0;
  auto fields() { return std::tie(key, next_expected); }
};

/** One segment of the answer, sent by the backend directly to the client. */
struct Answer {
  FlowKey key;
  ServiceId service;
  BackendId backend;
  std::uint32_t sequence = 0;
  bool last = false;
  Bytes payload;
  auto fields() { return std::tie(key, service, backend, sequence, last, payload); }
};

/** What a refusal applies to. */
enum class RefusalScope : std::uint8_t {
  /** The Open: this balancer made no placement. Doesn't cover placements by other balancers. */
  Placement = 0,
  /** The attempt: the backend named in its token did not run it and will not run it. */
  Attempt = 1,
  Last = Attempt,
};

/** The request was not run and will not be run within the scope. Sent only if this is certain. */
struct Refused {
  FlowKey key;
  Reason reason = Reason::None;
  /** Minimum delay before a retry [ms]. */
  std::uint32_t retry_after_ms = 0;
  /** Token for the next attempt if the balancer placed the flow again at once; else empty. */
  TokenBytes replacement;
  RefusalScope scope = RefusalScope::Placement;
  auto fields() { return std::tie(key, reason, retry_after_ms, replacement, scope); }
};

/** The flow can't be continued; whether the request was run is unknown. */
struct Reset {
  FlowKey key;
  Reason reason = Reason::None;
  std::uint32_t retry_after_ms = 0;
  auto fields() { return std::tie(key, reason, retry_after_ms); }
};

/** Whether a forwarded datagram may start a request that is new to the backend. */
enum class ForwardMode : std::uint8_t { MayStart = 0, ContinueOnly = 1, Last = ContinueOnly };

/** Client datagram that the fabric forwards to a balancer. */
struct Sprayed {
  Endpoint client;
  Bytes datagram;
  auto fields() { return std::tie(client, datagram); }
};

/** Client datagram that a balancer forwards to a backend. */
struct Forward {
  Endpoint client;
  BackendId backend;
  ServiceId service;
  ForwardMode mode = ForwardMode::MayStart;
  Bytes datagram;
  auto fields() { return std::tie(client, backend, service, mode, datagram); }
};

/** Backend's reply to the forwarding balancer: it did not run the attempt or doesn't know it. */
struct BackendRefusal {
  Endpoint client;
  FlowKey key;
  ServiceId service;
  BackendId backend;
  Reason reason = Reason::None;
  /** True if the attempt certainly was not run and will not be run by this backend. */
  bool not_run = false;
  std::uint32_t retry_after_ms = 0;
  auto fields() { return std::tie(client, key, service, backend, reason, not_run, retry_after_ms); }
};

using Datagram = std::variant<Open, Placed, Data, AnswerAck, Cancel, DataAck, Answer, Refused,
                              Reset, Sprayed, Forward, BackendRefusal>;

/** @return the stable name of a reason for logs, metrics and the API. */
const char* toString(Reason reason);

}  // namespace lugfork
