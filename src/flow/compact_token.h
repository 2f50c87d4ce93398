#pragma once

#include <array>
#include <cstdint>

#include "common/ids.h"

/**
 * Compact placement tokens: 32 bits that name the back end of a flow, for protocols whose packets
 * leave no room for a sealed token. See docs/design/0011-packets-with-compact-tokens.md.
 */
namespace lugfork {

inline constexpr std::size_t kCompactTokenKeyBytes = 16;

/** Secret that all balancers of a fleet share. */
using CompactTokenKey = std::array<std::uint8_t, kCompactTokenKeyBytes>;

/** Token as a packet carries it. */
struct CompactToken {
  std::uint32_t value = 0;
  auto operator<=>(const CompactToken&) const = default;
};

/**
 * Masks the back end's id with a keyed hash of the flow (SipHash-2-4). A token that is copied to
 * another flow gives a random id, which names a back end with a probability of the number of back
 * ends over 2^32.
 */
class CompactTokenCodec {
 public:
  explicit CompactTokenCodec(const CompactTokenKey& key) : key_(key) {}

  CompactToken encode(const FlowId& flow, BackendId backend) const;

  /** @return the back end that the token names; any id at all for a token of another flow. */
  BackendId decode(const FlowId& flow, CompactToken token) const;

 private:
  std::uint32_t mask(const FlowId& flow) const;

  const CompactTokenKey key_;
};

/** @return the identifier of a flow that is known by its two ends. */
FlowId flowIdOf(Endpoint client, Endpoint service);

/** @return the id under which a server goes into tokens (64 bits folded to 32). */
BackendId backendIdOfServer(std::uint64_t server_id);

/** @return the id of a server in tokens where another server has the first one already. */
BackendId fallbackBackendIdOfServer(std::uint64_t server_id);

}  // namespace lugfork
