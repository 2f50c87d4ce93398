#include "wire/peer_codec.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const MemberRecord kMember{"lac-1", "lac", {0x0a000001, 7100}, MemberState::Suspect, 99};

GossipHeader sampleGossip() {
  BackendObservation observation;
  observation.report.backend = BackendId(7);
  observation.self_announced = true;
  return {kMember, {ConfigVersion(3), 0xfeed}, {kMember}, {observation}};
}

TEST_CASE("every peer message type is encoded and decoded without loss") {
  const ConfigurationId older{ConfigVersion(2), 1};
  const ConfigurationId newer{ConfigVersion(3), 2};
  const ResourceRecord record{{ResourceKind::Backend, 7}, Bytes{1, 2, 3}};
  const std::vector<PeerMessage> messages = {
      Ping{2, sampleGossip()},
      PingAck{2, sampleGossip()},
      PingRequest{2, {0x0a000002, 7100}, sampleGossip()},
      GossipPush{sampleGossip()},
      MembersRequest{500},
      MembersReply{{kMember}, 1000},
      ObservationsRequest{100},
      ObservationsReply{sampleGossip().observations},
      ConfigurationRequest{older},
      ConfigurationDelta{older, newer, {record}, {{ResourceKind::Zone, 4}}},
      ConfigurationSummary{newer, {11, 12}},
      BucketRequest{newer, 16, {1, 2}},
      BucketReply{newer, {1}, {record}},
  };
  REQUIRE(messages.size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : messages) {
    const Bytes bytes = encodePeerMessage(message);
    const auto decoded = decodePeerMessage(bytes);
    REQUIRE(decoded);
    CHECK(encodePeerMessage(decoded.value()) == bytes);
  }
}

TEST_CASE("frames that are not a peer message are rejected with the cause") {
  CHECK(decodePeerMessage(Bytes{}).error() == CodecError::Malformed);
  CHECK(decodePeerMessage(Bytes(kMaxPeerMessageBytes + 1, 0)).error() == CodecError::TooLarge);
  CHECK(decodePeerMessage(Bytes{0x91, 0x7f}).error() == CodecError::UnknownType);
  CHECK(decodePeerMessage(Bytes{0x91, 0x00}).error() == CodecError::BadField);
}

}  // namespace
}  // namespace lugfork
