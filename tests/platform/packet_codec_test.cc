#include "packet_codec.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace lugfork::platform {
namespace {

using Bytes = std::vector<std::uint8_t>;

/** Opening packet of the protocol specification, from 100.64.0.7:40001 to 198.18.0.1:443. */
const Bytes kOpening = {0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00, 0x07, 0x01,
                        0xbb, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x11, 0x22, 0x33, 0x44,
                        0x00, 0x00, 0x00, 0x00, 0x04, 0x00, 0xa1, 0xb2, 0xc3, 0xd5};
/** Reset of that flow in the specification. */
const Bytes kReset = {0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xc6, 0x12, 0x00, 0x01, 0x9c,
                      0x41, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0x00, 0x00, 0x00, 0x00,
                      0x00, 0x00, 0x00, 0x00, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00};
constexpr std::size_t kFlagsOffset = 26;

const PlatformPacketCodec kCodec;

TEST_CASE("the opening packet of the specification is decoded", "[packet_codec]") {
  const auto packet = kCodec.decode(kOpening);
  REQUIRE(packet);
  CHECK(packet.value().client == Endpoint{0x64400007, 40001});
  CHECK(packet.value().service == Endpoint{0xc6120001, 443});
  CHECK(packet.value().opens);
  CHECK_FALSE(packet.value().closes);
  CHECK(packet.value().sequence == 0x11223344);
  CHECK(packet.value().payload_bytes == 0);
}

TEST_CASE("the reset of the specification is encoded", "[packet_codec]") {
  CHECK(kCodec.encodeReset(kCodec.decode(kOpening).value()) == kReset);
}

TEST_CASE("a reset of an open flow has the sequence number that the client expects",
          "[packet_codec]") {
  Bytes data = kOpening;
  data[kFlagsOffset] = 2;
  data[22] = 0x0a;
  data[25] = 0x0b;
  const Bytes reset = kCodec.encodeReset(kCodec.decode(data).value());
  CHECK(Bytes(reset.begin() + 18, reset.begin() + 22) == Bytes{0x0a, 0, 0, 0x0b});
}

TEST_CASE("a packet is forwarded to the backend unchanged except for its token", "[packet_codec]") {
  rc::prop("after the backend id only the echo field differs", [](std::uint64_t server_id,
                                                                  std::uint32_t token) {
    const auto size = *rc::gen::inRange<std::size_t>(0, kMaxDataBytes + 1);
    Bytes packet =
        *rc::gen::container<Bytes>(kHeaderBytes + size, rc::gen::arbitrary<std::uint8_t>());
    Backend backend;
    backend.server_id = server_id;
    Bytes datagram;
    kCodec.encodeForBackend(packet, backend, CompactToken{token}, datagram);
    RC_ASSERT(datagram.size() == packet.size() + kIdPrefixBytes);
    for (std::size_t index = 0; index < kIdPrefixBytes; ++index) {
      RC_ASSERT(datagram[index] == static_cast<std::uint8_t>(server_id >> (56 - 8 * index)));
    }
    for (std::size_t index = 0; index < 4; ++index) {
      packet[2 + index] = static_cast<std::uint8_t>(token >> (24 - 8 * index));
    }
    RC_ASSERT(std::equal(packet.begin(), packet.end(), datagram.begin() + kIdPrefixBytes));
  });
}

TEST_CASE("datagrams that are not packets are rejected with the cause", "[packet_codec]") {
  Bytes bytes = kOpening;
  PacketError expected = PacketError::TooShort;
  SECTION("empty") {
    bytes.clear();
  }
  SECTION("truncated header") {
    bytes.pop_back();
  }
  SECTION("more data than the length field") {
    bytes.push_back(1);
    expected = PacketError::WrongLength;
  }
  SECTION("less data than the length field") {
    bytes[1] = 5;
    expected = PacketError::WrongLength;
  }
  SECTION("more data than the maximum") {
    bytes.resize(kHeaderBytes + kMaxDataBytes + 1);
    bytes[0] = static_cast<std::uint8_t>((kMaxDataBytes + 1) >> 8);
    bytes[1] = static_cast<std::uint8_t>((kMaxDataBytes + 1) & 0xff);
    expected = PacketError::WrongLength;
  }
  SECTION("unknown flags") {
    bytes[kFlagsOffset] = 4 | 1;
    expected = PacketError::UnknownFlags;
  }
  SECTION("a backend's answer to an opening") {
    bytes[kFlagsOffset] = 4 | 2;
    expected = PacketError::NotFromClient;
  }
  const auto packet = kCodec.decode(bytes);
  REQUIRE_FALSE(packet);
  CHECK(packet.error() == expected);
}

TEST_CASE("arbitrary bytes are decoded or rejected without another failure", "[packet_codec]") {
  rc::prop("decode accepts arbitrary bytes",
           [](const Bytes& bytes) { (void)kCodec.decode(bytes); });
}

}  // namespace
}  // namespace lugfork::platform
