#pragma once

#include <array>
#include <cstdint>

#include "common/ids.h"

/**
 * Compact placement tokens: 32 bits that name the backend of a flow, for protocols whose packets
 * have no space for a sealed token. See docs/design/0011-packets-with-compact-tokens.md.
 */
namespace lugfork {

inline constexpr std::size_t kCompactTokenKeyBytes = 16;

/** Secret shared by all balancers of a fleet. */
using CompactTokenKey = std::array<std::uint8_t, kCompactTokenKeyBytes>;

/** Token as carried by a packet. */
struct CompactToken {
  std::uint32_t value = 0;
  auto operator<=>(const CompactToken&) const = default;
};

/**
 * Masks the backend's id with a keyed hash of the flow (SipHash-2-4). A token copied to another
 * flow decodes to a random id, which names a backend with a probability of n / 2^32 for n backends.
 */
class CompactTokenCodec {
 public:
  explicit CompactTokenCodec(const CompactTokenKey& key) : key_(key) {}

  CompactToken encode(const FlowId& flow, BackendId backend) const;

  /** @return the backend that the token names; an arbitrary id for a token of another flow. */
  BackendId decode(const FlowId& flow, CompactToken token) const;

 private:
  std::uint32_t mask(const FlowId& flow) const;

  const CompactTokenKey key_;
};

/** @return the identifier of the flow between two endpoints. */
FlowId flowIdOf(Endpoint client, Endpoint service);

/** @return the primary id of a backend in tokens: its 64-bit server id hashed to 32 bits. */
BackendId backendIdOfServer(std::uint64_t server_id);

/** @return the secondary id of a backend, used if another one already has its primary id. */
BackendId secondaryBackendIdOfServer(std::uint64_t server_id);

}  // namespace lugfork
