#include "wire/peer_codec.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

TEST_CASE("every peer message type survives encoding and decoding") {
  const std::vector<PeerMessage> messages = {
      Ping{NodeId(1), 2, ConfigVersion(3)},
      PingAck{NodeId(1), 2, ConfigVersion(3)},
      ConfigurationRequest{NodeId(1), ConfigVersion(3)},
      ConfigurationReply{NodeId(1), "{}"},
  };
  REQUIRE(messages.size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : messages) {
    const Bytes bytes = encodePeerMessage(message);
    const auto decoded = decodePeerMessage(bytes);
    REQUIRE(decoded);
    CHECK(encodePeerMessage(decoded.value()) == bytes);
  }
}

TEST_CASE("frames that are no peer message are refused with the cause") {
  CHECK(decodePeerMessage(Bytes{}).error() == CodecError::Malformed);
  CHECK(decodePeerMessage(Bytes(kMaxPeerMessageBytes + 1, 0)).error() == CodecError::TooLarge);
  CHECK(decodePeerMessage(Bytes{0x91, 0x7f}).error() == CodecError::UnknownType);
  CHECK(decodePeerMessage(Bytes{0x91, 0x00}).error() == CodecError::BadField);
}

}  // namespace
}  // namespace lugfork
