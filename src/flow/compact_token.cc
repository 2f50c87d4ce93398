#include "flow/compact_token.h"

#include <sodium.h>
#include <xxhash.h>

#include <cstring>

namespace lugfork {

static_assert(kCompactTokenKeyBytes == crypto_shorthash_KEYBYTES);

std::uint32_t CompactTokenCodec::mask(const FlowId& flow) const {
  const std::array<std::uint64_t, 2> content = {flow.high, flow.low};
  std::array<std::uint8_t, crypto_shorthash_BYTES> hash{};
  crypto_shorthash(hash.data(), reinterpret_cast<const std::uint8_t*>(content.data()),
                   sizeof(content), key_.data());
  std::uint32_t mask = 0;
  std::memcpy(&mask, hash.data(), sizeof(mask));
  return mask;
}

CompactToken CompactTokenCodec::encode(const FlowId& flow, BackendId backend) const {
  return CompactToken{backend.value() ^ mask(flow)};
}

BackendId CompactTokenCodec::decode(const FlowId& flow, CompactToken token) const {
  return BackendId(token.value ^ mask(flow));
}

FlowId flowIdOf(Endpoint client, Endpoint service) {
  FlowId flow;
  flow.high = (static_cast<std::uint64_t>(client.address) << 32) | service.address;
  flow.low = (static_cast<std::uint64_t>(client.port) << 16) | service.port;
  return flow;
}

BackendId backendIdOfServer(std::uint64_t server_id) {
  return BackendId(static_cast<std::uint32_t>(XXH3_64bits(&server_id, sizeof(server_id))));
}

BackendId secondaryBackendIdOfServer(std::uint64_t server_id) {
  constexpr std::uint64_t kSecondarySeed = 2;
  return BackendId(static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(&server_id, sizeof(server_id), kSecondarySeed)));
}

}  // namespace lugfork
