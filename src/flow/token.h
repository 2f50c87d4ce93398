#pragma once

#include <span>

#include "common/result.h"
#include "common/time_source.h"
#include "config/configuration.h"
#include "wire/datagram.h"

/**
 * Placement tokens: the flow carries where it belongs, sealed so that every balancer can check it
 * alone. See docs/design/0001-placement-tokens.md.
 */
namespace lugfork {

/** Where an attempt of a flow was placed. */
struct Placement {
  FlowKey key;
  ServiceId service;
  BackendId backend;
  ZoneId zone;
  /** The back end's address at the time of placement. */
  Endpoint backend_address;
  /** Version of the configuration that the placing balancer had in force. */
  ConfigVersion config_version;
  SystemTime placed_at;
};

/** Why a token was not accepted. */
enum class TokenError {
  /** Not of this format; never valid. */
  Malformed,
  /** Sealed with a key that this configuration does not hold; perhaps one to come. */
  UnknownKey,
  /** The seal does not match the content or the flow. */
  Forged,
};

/** Size of a sealed token, in bytes. */
inline constexpr std::size_t kTokenSize = 52;

/** @return the placement sealed with the given key (keyed BLAKE2b, 128-bit tag). */
TokenBytes sealToken(const Placement& placement, const TokenKey& key);

/**
 * Verifies a token for a flow.
 * @param key the flow and attempt of the datagram that carries the token.
 * @return the placement, or why the token is not accepted.
 */
Result<Placement, TokenError> openToken(std::span<const std::uint8_t> token, const FlowKey& key,
                                        const ConfigurationView& configuration);

/**
 * Reads the placement time without a check of the seal, for back ends, which hold no keys.
 * @return the time, or the epoch for a malformed token.
 */
SystemTime tokenPlacementTime(std::span<const std::uint8_t> token);

}  // namespace lugfork
