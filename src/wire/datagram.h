#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"

/**
 * Datagrams of the data path, exchanged over UDP by callers, balancers and back ends.
 *
 * A struct's fields() lists what goes on the wire, in order; the codec packs it as one msgpack
 * array. The position of a type in the Datagram variant is its number on the wire, so new types go
 * to the end.
 */
namespace lugfork {

using Bytes = std::vector<std::uint8_t>;

/** Largest datagram, in bytes; fits an Ethernet frame without fragmentation. */
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/** Largest payload of one Data or Answer datagram, in bytes. */
inline constexpr std::size_t kMaxPayloadBytes = 1000;

/** Sealed placement token as it stands on the wire (see flow/token.h). */
using TokenBytes = Bytes;

/** Why work was refused or a flow was reset. Numbers are part of the protocol. */
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

/** Caller asks for a placement. Carries no work. */
struct Open {
  Endpoint service;
  FlowKey key;
  auto fields() { return std::tie(service, key); }
};

/** Balancer answers an Open with the sealed placement. */
struct Placed {
  FlowKey key;
  TokenBytes token;
  auto fields() { return std::tie(key, token); }
};

/** One piece of a request, from the caller to the back end that the token names. */
struct Data {
  Endpoint service;
  FlowKey key;
  TokenBytes token;
  std::uint32_t sequence = 0;
  bool last = false;
  /** Milliseconds that the caller will still wait for the whole answer; 0 for no limit. */
  std::uint32_t deadline_ms = 0;
  Bytes payload;
  auto fields() { return std::tie(service, key, token, sequence, last, deadline_ms, payload); }
};

/** Caller confirms all pieces of the answer below next_expected; also keeps the flow alive. */
struct AnswerAck {
  Endpoint service;
  FlowKey key;
  TokenBytes token;
  std::uint32_t next_expected = 0;
  auto fields() { return std::tie(service, key, token, next_expected); }
};

/** Caller no longer wants the answer. */
struct Cancel {
  Endpoint service;
  FlowKey key;
  TokenBytes token;
  auto fields() { return std::tie(service, key, token); }
};

/** Back end confirms all pieces of the request below next_expected. */
struct DataAck {
  FlowKey key;
  std::uint32_t next_expected = 0;
  auto fields() { return std::tie(key, next_expected); }
};

/** One piece of the answer, from the back end straight to the caller. */
struct Answer {
  FlowKey key;
  ServiceId service;
  BackendId backend;
  std::uint32_t sequence = 0;
  bool last = false;
  Bytes payload;
  auto fields() { return std::tie(key, service, backend, sequence, last, payload); }
};

/** What a refusal is about. */
enum class RefusalScope : std::uint8_t {
  /** The Open: this balancer gave no placement. Says nothing of placements by other balancers. */
  Placement = 0,
  /** The attempt: the back end that its token names did not and will not run it. */
  Attempt = 1,
  Last = Attempt,
};

/** The request was not run and will not run within the scope. Only said where certain. */
struct Refused {
  FlowKey key;
  Reason reason = Reason::None;
  /** Earliest useful time for another try, in milliseconds from now. */
  std::uint32_t retry_after_ms = 0;
  /** Placement for the next attempt where the balancer placed again at once; else empty. */
  TokenBytes replacement;
  RefusalScope scope = RefusalScope::Placement;
  auto fields() { return std::tie(key, reason, retry_after_ms, replacement, scope); }
};

/** The flow can't go on and whether the request ran is unknown. */
struct Reset {
  FlowKey key;
  Reason reason = Reason::None;
  std::uint32_t retry_after_ms = 0;
  auto fields() { return std::tie(key, reason, retry_after_ms); }
};

/** Whether a forwarded datagram may start work that the back end does not know yet. */
enum class ForwardMode : std::uint8_t { MayStart = 0, ContinueOnly = 1, Last = ContinueOnly };

/** Caller's datagram on its way through the fabric to a balancer. */
struct Sprayed {
  Endpoint client;
  Bytes datagram;
  auto fields() { return std::tie(client, datagram); }
};

/** Caller's datagram on its way from a balancer to the back end. */
struct Forward {
  Endpoint client;
  BackendId backend;
  ServiceId service;
  ForwardMode mode = ForwardMode::MayStart;
  Bytes datagram;
  auto fields() { return std::tie(client, backend, service, mode, datagram); }
};

/** Back end tells the forwarding balancer that the attempt was not run, or is not known to it. */
struct BackendRefusal {
  Endpoint client;
  FlowKey key;
  ServiceId service;
  BackendId backend;
  Reason reason = Reason::None;
  /** True where the attempt certainly did not and will not run here. */
  bool not_run = false;
  std::uint32_t retry_after_ms = 0;
  auto fields() { return std::tie(client, key, service, backend, reason, not_run, retry_after_ms); }
};

using Datagram = std::variant<Open, Placed, Data, AnswerAck, Cancel, DataAck, Answer, Refused,
                              Reset, Sprayed, Forward, BackendRefusal>;

/** Stable name of a reason, for logs, metrics and the API. */
const char* toString(Reason reason);

}  // namespace lugfork
