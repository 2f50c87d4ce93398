#pragma once

#include <span>

#include "common/result.h"
#include "common/time_source.h"
#include "config/configuration.h"
#include "wire/datagram.h"

/**
 * Placement tokens: a flow carries its own placement, sealed so that every balancer can verify it
 * on its own. See docs/design/0001-placement-tokens.md.
 */
namespace lugfork {

/** Placement of one attempt of a flow. */
struct Placement {
  FlowKey key;
  ServiceId service;
  BackendId backend;
  ZoneId zone;
  /** The backend's address at the time of placement. */
  Endpoint backend_address;
  /** Version of the configuration in force at the balancer that placed the flow. */
  ConfigVersion config_version;
  SystemTime placed_at;
};

/** Why a token was rejected. */
enum class TokenError {
  /** The format is unknown; the token can't become valid. */
  Malformed,
  /** The key is not part of this configuration; a later one may contain it. */
  UnknownKey,
  /** The seal does not match the content or the flow. */
  Forged,
};

/** Size of a sealed token [bytes]. */
inline constexpr std::size_t kTokenSize = 52;

/** @return the placement sealed with the given key (keyed BLAKE2b, 128-bit tag). */
TokenBytes sealToken(const Placement& placement, const TokenKey& key);

/**
 * Verifies a token for a flow.
 * @param key the flow and attempt of the datagram that carries the token.
 * @return the placement, or why the token is rejected.
 */
Result<Placement, TokenError> openToken(std::span<const std::uint8_t> token, const FlowKey& key,
                                        const ConfigurationView& configuration);

/**
 * Reads the placement time without verifying the seal, for backends, which have no keys.
 * @return the time, or the epoch for a malformed token.
 */
SystemTime tokenPlacementTime(std::span<const std::uint8_t> token);

}  // namespace lugfork
