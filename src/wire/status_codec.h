#pragma once

#include <array>
#include <span>
#include <variant>

#include "common/result.h"
#include "discovery/peer_client.h"
#include "wire/codec_error.h"
#include "wire/datagram.h"

/**
 * Datagrams in which balancers ask each other how new their views are: a msgpack body and behind
 * it a tag over the body (BLAKE2b, 16 bytes) under a key that all balancers of a fleet share.
 */
namespace lugfork {

inline constexpr std::size_t kStatusKeyBytes = 32;
using StatusKey = std::array<std::uint8_t, kStatusKeyBytes>;

/** Asks for a status. */
struct StatusQuestion {
  /** Chosen by who asks; the answer repeats it. */
  std::uint64_t question = 0;
  auto fields() { return std::tie(question); }
};

/** Answers a StatusQuestion. */
struct StatusAnswer {
  std::uint64_t question = 0;
  ViewStatus status;
  auto fields() { return std::tie(question, status); }
};

using StatusMessage = std::variant<StatusQuestion, StatusAnswer>;

/** @return the key for these datagrams, derived from the fleet's secret. */
StatusKey deriveStatusKey(std::span<const std::uint8_t> fleet_secret);

Bytes encodeStatusMessage(const StatusMessage& message, const StatusKey& key);

/** Reads a datagram. @return Malformed where it is of another form or its tag is wrong. */
Result<StatusMessage, CodecError> decodeStatusMessage(std::span<const std::uint8_t> datagram,
                                                      const StatusKey& key);

}  // namespace lugfork
