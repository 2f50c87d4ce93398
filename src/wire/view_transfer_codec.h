#pragma once

#include <array>
#include <span>
#include <variant>

#include "common/result.h"
#include "discovery/item_source.h"
#include "discovery/peer_client.h"
#include "wire/codec_error.h"
#include "wire/datagram.h"
#include "wire/evidence_messages.h"

/**
 * Datagrams that transfer views between balancers. A datagram is a msgpack body followed by an
 * authentication tag (keyed BLAKE2b, 16 bytes) under a key that all balancers of a fleet share. A
 * view or a set of changes is one LZ4-compressed body, split into parts that each fit a datagram.
 */
namespace lugfork {

inline constexpr std::size_t kPeerKeyBytes = 32;
using PeerKey = std::array<std::uint8_t, kPeerKeyBytes>;

/** Body bytes in one part [bytes]; keeps a datagram below the MTU, so that no link fragments it. */
inline constexpr std::uint32_t kPartBytes = 1200;
/** Maximum number of parts in one request: the width of its bit mask. */
inline constexpr std::uint32_t kMaxPartsPerRequest = 32;
inline constexpr std::uint32_t kAllParts = 0xffffffff;
/** Maximum size of a compressed body [bytes]; a view of 14,000 backends takes a fifth of it. */
inline constexpr std::uint32_t kMaxBodyBytes = 4 * 1024 * 1024;
/** Maximum number of balancers in one list, so that the list fits a datagram. */
inline constexpr std::size_t kMaxPeersPerMessage = 100;

/** Requests parts of the changes of a view after a revision. */
struct ViewRequest {
  /** Request id, assigned by the requester and repeated in all replies. */
  std::uint64_t request = 0;
  /** Control address of the requester. */
  Endpoint from;
  /** 0 for the full view. */
  Revision after = 0;
  /** Hash of the body whose parts are missing; 0 in the first request. */
  std::uint64_t body_hash = 0;
  std::uint32_t first_part = 0;
  /** Bit mask of the requested parts: bit n is part first_part + n. */
  std::uint32_t parts = kAllParts;
  /** Link class of the requester. */
  LinkClass link = 0;
  auto fields() { return std::tie(request, from, after, body_hash, first_part, parts, link); }
};

/** One part of a body. */
struct ViewPart {
  std::uint64_t request = 0;
  ViewStatus status;
  /** XXH3 of the compressed body: identifies it and verifies the reassembled body. */
  std::uint64_t body_hash = 0;
  std::uint32_t body_bytes = 0;
  std::uint32_t part = 0;
  Bytes bytes;
  auto fields() { return std::tie(request, status, body_hash, body_bytes, part, bytes); }
};

/** The view is not sent, or not yet. */
struct ViewRefusal {
  std::uint64_t request = 0;
  ViewStatus status;
  /** The request is queued and answered once a view is available; no other reply is sent before. */
  bool is_queued = false;
  /** Balancers that can be asked instead. */
  std::vector<Endpoint> alternatives;
  auto fields() { return std::tie(request, status, is_queued, alternatives); }
};

/** Announces the sender and requests the balancers that the receiver knows. */
struct PeersRequest {
  std::uint64_t request = 0;
  PeerInfo from;
  auto fields() { return std::tie(request, from); }
};

struct PeersReply {
  std::uint64_t request = 0;
  std::vector<PeerInfo> peers;
  auto fields() { return std::tie(request, peers); }
};

using ViewMessage = std::variant<ViewRequest, ViewPart, ViewRefusal, PeersRequest, PeersReply,
                                 EvidenceReport, EvidenceDigest>;

/** Content of a body before compression and splitting. */
struct ViewBody {
  std::vector<ItemChange> changes;
  Revision at = 0;
  bool is_full_view = false;
  std::vector<PeerInfo> peers;
};

/** @return the authentication key of these datagrams, derived from the fleet secret. */
PeerKey derivePeerKey(std::span<const std::uint8_t> fleet_secret);

Bytes encodeViewMessage(const ViewMessage& message, const PeerKey& key);

/** Decodes a datagram. @return the message, or the error; Malformed if the tag is wrong. */
Result<ViewMessage, CodecError> decodeViewMessage(std::span<const std::uint8_t> datagram,
                                                  const PeerKey& key);

Bytes encodeViewBody(const ViewBody& body);

/** Decodes a body that encodeViewBody encoded. */
Result<ViewBody, CodecError> decodeViewBody(const Bytes& bytes);

/** @return the hash that identifies a compressed body; never 0. */
std::uint64_t hashBody(const Bytes& body);

/** @return the number of parts of a compressed body of this size [bytes]. */
constexpr std::uint32_t partCount(std::uint32_t body_bytes) {
  return (body_bytes + kPartBytes - 1) / kPartBytes;
}

}  // namespace lugfork
