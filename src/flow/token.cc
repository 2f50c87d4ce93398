#include "flow/token.h"

#include <sodium.h>

#include <boost/endian/buffers.hpp>
#include <cstring>

namespace lugfork {

namespace {

constexpr std::uint8_t kTokenFormat = 1;
constexpr std::size_t kTagBytes = 16;

/** Sealed part of the token in its wire format. */
struct TokenBody {
  boost::endian::little_uint8_buf_t format;
  boost::endian::little_uint8_buf_t attempt;
  boost::endian::little_uint16_buf_t key;
  boost::endian::little_uint32_buf_t service;
  boost::endian::little_uint32_buf_t backend;
  boost::endian::little_uint32_buf_t address;
  boost::endian::little_uint16_buf_t port;
  boost::endian::little_uint16_buf_t zone;
  boost::endian::little_uint64_buf_t config_version;
  boost::endian::little_uint64_buf_t placed_at_us;
};

static_assert(sizeof(TokenBody) + kTagBytes == kTokenSize);
static_assert(std::is_trivially_copyable_v<TokenBody>);

/** Input of the tag: the body and the flow, so that a token is valid for one flow only. */
struct SealedContent {
  TokenBody body;
  boost::endian::little_uint64_buf_t flow_high;
  boost::endian::little_uint64_buf_t flow_low;
};

using Tag = std::array<std::uint8_t, kTagBytes>;

Tag computeTag(const TokenBody& body, const FlowId& flow, const TokenKey& key) {
  SealedContent content{};
  content.body = body;
  content.flow_high = flow.high;
  content.flow_low = flow.low;
  Tag tag;
  crypto_generichash(tag.data(), tag.size(), reinterpret_cast<const std::uint8_t*>(&content),
                     sizeof(content), key.secret.data(), key.secret.size());
  return tag;
}

SystemTime placementTime(const TokenBody& body) {
  return SystemTime(Duration(static_cast<std::int64_t>(body.placed_at_us.value())));
}

}  // namespace

TokenBytes sealToken(const Placement& placement, const TokenKey& key) {
  TokenBody body{};
  body.format = kTokenFormat;
  body.attempt = placement.key.attempt;
  body.key = key.id.value();
  body.service = placement.service.value();
  body.backend = placement.backend.value();
  body.address = placement.backend_address.address;
  body.port = placement.backend_address.port;
  body.zone = placement.zone.value();
  body.config_version = placement.config_version.value();
  body.placed_at_us = static_cast<std::uint64_t>(placement.placed_at.time_since_epoch().count());
  const Tag tag = computeTag(body, placement.key.flow, key);
  TokenBytes token(kTokenSize);
  std::memcpy(token.data(), &body, sizeof(body));
  std::memcpy(token.data() + sizeof(body), tag.data(), tag.size());
  return token;
}

Result<Placement, TokenError> openToken(std::span<const std::uint8_t> token, const FlowKey& key,
                                        const ConfigurationView& configuration) {
  if (token.size() != kTokenSize) {
    return TokenError::Malformed;
  }
  TokenBody body;
  std::memcpy(&body, token.data(), sizeof(body));
  if (body.format.value() != kTokenFormat) {
    return TokenError::Malformed;
  }
  const TokenKey* token_key = configuration.key(KeyId(body.key.value()));
  if (token_key == nullptr) {
    return TokenError::UnknownKey;
  }
  const Tag tag = computeTag(body, key.flow, *token_key);
  const bool tag_matches = sodium_memcmp(tag.data(), token.data() + sizeof(body), kTagBytes) == 0;
  if (!tag_matches || body.attempt.value() != key.attempt) {
    return TokenError::Forged;
  }
  Placement placement;
  placement.key = key;
  placement.service = ServiceId(body.service.value());
  placement.backend = BackendId(body.backend.value());
  placement.zone = ZoneId(body.zone.value());
  placement.backend_address = Endpoint{body.address.value(), body.port.value()};
  placement.config_version = ConfigVersion(body.config_version.value());
  placement.placed_at = placementTime(body);
  return placement;
}

SystemTime tokenPlacementTime(std::span<const std::uint8_t> token) {
  if (token.size() != kTokenSize) {
    return SystemTime{};
  }
  TokenBody body;
  std::memcpy(&body, token.data(), sizeof(body));
  return placementTime(body);
}

}  // namespace lugfork
