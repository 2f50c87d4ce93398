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
 * Datagrams in which balancers hand each other their views: a msgpack body and behind it a tag over
 * the body (BLAKE2b, 16 bytes) under a key that all balancers of a fleet share. A view or a set of
 * changes is one compressed body (LZ4), cut into parts that fit a datagram.
 */
namespace lugfork {

inline constexpr std::size_t kPeerKeyBytes = 32;
using PeerKey = std::array<std::uint8_t, kPeerKeyBytes>;

/** Bytes of a body in one part, so that no link has to cut a datagram. */
inline constexpr std::uint32_t kPartBytes = 1200;
/** Parts that one request can ask for: the bits of its mask. */
inline constexpr std::uint32_t kMaxPartsPerRequest = 32;
inline constexpr std::uint32_t kAllParts = 0xffffffff;
/** Largest compressed body: 14,000 servers take a fifth of it. */
inline constexpr std::uint32_t kMaxBodyBytes = 4 * 1024 * 1024;
/** Balancers in one list, so that the list fits a datagram. */
inline constexpr std::size_t kMaxPeersPerMessage = 100;

/** Asks for parts of what a view holds beyond a revision. */
struct ViewRequest {
  /** Chosen by who asks; all answers repeat it. */
  std::uint64_t request = 0;
  /** Control address of who asks. */
  Endpoint from;
  /** 0 for the whole view. */
  Revision after = 0;
  /** Body of which parts are missing; 0 in a first request. */
  std::uint64_t body_hash = 0;
  std::uint32_t first_part = 0;
  /** Bit n stands for part first_part + n. */
  std::uint32_t parts = kAllParts;
  /** Link of who asks. */
  LinkClass link = 0;
  auto fields() { return std::tie(request, from, after, body_hash, first_part, parts, link); }
};

/** One part of a body. */
struct ViewPart {
  std::uint64_t request = 0;
  ViewStatus status;
  /** XXH3 of the compressed body: tells bodies apart and checks what was put together. */
  std::uint64_t body_hash = 0;
  std::uint32_t body_bytes = 0;
  std::uint32_t part = 0;
  Bytes bytes;
  auto fields() { return std::tie(request, status, body_hash, body_bytes, part, bytes); }
};

/** The view is not told, or not now. */
struct ViewRefusal {
  std::uint64_t request = 0;
  ViewStatus status;
  /** The request is kept and answered as soon as there is a view; no other answer comes now. */
  bool is_queued = false;
  /** Balancers that may be asked instead. */
  std::vector<Endpoint> alternatives;
  auto fields() { return std::tie(request, status, is_queued, alternatives); }
};

/** Shows who asks, and asks which balancers are known. */
struct PeersRequest {
  std::uint64_t request = 0;
  KnownPeer from;
  auto fields() { return std::tie(request, from); }
};

struct PeersReply {
  std::uint64_t request = 0;
  std::vector<KnownPeer> peers;
  auto fields() { return std::tie(request, peers); }
};

using ViewMessage = std::variant<ViewRequest, ViewPart, ViewRefusal, PeersRequest, PeersReply,
                                 EvidenceReport, EvidenceDigest>;

/** What is compressed and cut into parts. */
struct ViewBody {
  std::vector<ItemChange> changes;
  Revision at = 0;
  bool is_full_view = false;
  std::vector<KnownPeer> peers;
};

/** @return the key for these datagrams, derived from the fleet's secret. */
PeerKey derivePeerKey(std::span<const std::uint8_t> fleet_secret);

Bytes encodeViewMessage(const ViewMessage& message, const PeerKey& key);

/** Reads a datagram. @return Malformed where it is of another form or its tag is wrong. */
Result<ViewMessage, CodecError> decodeViewMessage(std::span<const std::uint8_t> datagram,
                                                  const PeerKey& key);

Bytes encodeViewBody(const ViewBody& body);

/** Reads what encodeViewBody wrote. */
Result<ViewBody, CodecError> decodeViewBody(const Bytes& bytes);

/** @return the hash by which a compressed body is known; never 0. */
std::uint64_t hashBody(const Bytes& body);

/** @return the number of parts of a compressed body. */
constexpr std::uint32_t partCount(std::uint32_t body_bytes) {
  return (body_bytes + kPartBytes - 1) / kPartBytes;
}

}  // namespace lugfork
