#include "flow/token.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const FlowKey kKey{{11, 22}, 1};

TokenKey makeKey(std::uint16_t id, std::uint8_t fill) {
  TokenKey key;
  key.id = KeyId(id);
  key.secret.fill(fill);
  return key;
}

ConfigurationView viewWithKeys(std::vector<TokenKey> keys) {
  Configuration configuration;
  configuration.version = ConfigVersion(1);
  configuration.keys = std::move(keys);
  return ConfigurationView(std::move(configuration));
}

Placement somePlacement() {
  Placement placement;
  placement.key = kKey;
  placement.service = ServiceId(5);
  placement.backend = BackendId(6);
  placement.zone = ZoneId(7);
  placement.backend_address = Endpoint{0x7f000001, 8080};
  placement.config_version = ConfigVersion(9);
  placement.placed_at = SystemTime(Duration(1234567890));
  return placement;
}

TEST_CASE("a sealed token opens to the same placement, also after rotation of the sealing key") {
  const TokenKey old_key = makeKey(1, 0xaa);
  const TokenBytes token = sealToken(somePlacement(), old_key);
  REQUIRE(token.size() == kTokenSize);
  const ConfigurationView view = viewWithKeys({old_key, makeKey(2, 0xbb)});
  const auto opened = openToken(token, kKey, view);
  REQUIRE(opened);
  CHECK(opened.value().service == ServiceId(5));
  CHECK(opened.value().backend == BackendId(6));
  CHECK(opened.value().zone == ZoneId(7));
  CHECK(opened.value().backend_address == Endpoint{0x7f000001, 8080});
  CHECK(opened.value().config_version == ConfigVersion(9));
  CHECK(opened.value().placed_at == SystemTime(Duration(1234567890)));
  CHECK(tokenPlacementTime(token) == SystemTime(Duration(1234567890)));
}

TEST_CASE("a token is rejected for another flow, another attempt or another secret") {
  const TokenKey key = makeKey(1, 0xaa);
  const TokenBytes token = sealToken(somePlacement(), key);
  const ConfigurationView view = viewWithKeys({key});
  CHECK(openToken(token, FlowKey{{11, 23}, 1}, view).error() == TokenError::Forged);
  CHECK(openToken(token, FlowKey{{11, 22}, 2}, view).error() == TokenError::Forged);
  CHECK(openToken(token, kKey, viewWithKeys({makeKey(1, 0xab)})).error() == TokenError::Forged);
  CHECK(openToken(token, kKey, viewWithKeys({makeKey(2, 0xaa)})).error() == TokenError::UnknownKey);
  CHECK(openToken(TokenBytes(kTokenSize - 1, 0), kKey, view).error() == TokenError::Malformed);
}

TEST_CASE("a token with any single byte changed is rejected") {
  const TokenKey key = makeKey(1, 0xaa);
  const ConfigurationView view = viewWithKeys({key});
  for (std::size_t index = 0; index < kTokenSize; ++index) {
    TokenBytes token = sealToken(somePlacement(), key);
    token[index] ^= 0x01;
    INFO("byte " << index);
    CHECK_FALSE(openToken(token, kKey, view));
  }
}

}  // namespace
}  // namespace lugfork
