#include "wire/datagram_codec.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const Endpoint kService{0x0a140001, 443};
const FlowKey kKey{{1, 2}, 3};

/** One datagram of each type, with every field set to a non-default value. */
std::vector<Datagram> oneOfEach() {
  return {
      Open{kService, kKey},
      Placed{kKey, TokenBytes(52, 7)},
      Data{kService, kKey, TokenBytes(52, 7), 4, true, 5000, Bytes(1000, 9)},
      AnswerAck{kService, kKey, TokenBytes(52, 7), 6},
      Cancel{kService, kKey, TokenBytes(52, 7)},
      DataAck{kKey, 8},
      Answer{kKey, ServiceId(1), BackendId(2), 3, true, Bytes(1000, 9)},
      Refused{kKey, Reason::Draining, 500, TokenBytes(52, 7), RefusalScope::Attempt},
      Reset{kKey, Reason::BackendGone, 500},
      Sprayed{kService, Bytes(100, 1)},
      Forward{kService, BackendId(2), ServiceId(1), ForwardMode::ContinueOnly, Bytes(100, 1)},
      BackendRefusal{kService, kKey, ServiceId(1), BackendId(2), Reason::Overloaded, true, 500},
  };
}

TEST_CASE("every datagram type is encoded and decoded without loss") {
  const auto datagrams = oneOfEach();
  REQUIRE(datagrams.size() == std::variant_size_v<Datagram>);
  for (const Datagram& datagram : datagrams) {
    const Bytes bytes = encodeDatagram(datagram);
    const auto decoded = decodeDatagram(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().index() == datagram.index());
    CHECK(encodeDatagram(decoded.value()) == bytes);
  }
}

TEST_CASE("a Forward with a maximum-size Data datagram fits the maximum datagram size") {
  const Bytes data = encodeDatagram(
      Data{kService, kKey, TokenBytes(52, 7), 4000000000, true, 4000000000, Bytes(1000, 9)});
  CHECK(encodeDatagram(Forward{kService, BackendId(4000000000), ServiceId(4000000000),
                               ForwardMode::MayStart, data})
            .size() <= kMaxDatagramBytes);
}

TEST_CASE("bytes that are not a datagram are rejected with the cause") {
  struct Row {
    const char* name;
    Bytes bytes;
    CodecError error;
  };
  const Bytes open = encodeDatagram(Open{kService, kKey});
  const Bytes truncated(open.begin(), open.begin() + static_cast<std::ptrdiff_t>(open.size()) - 1);
  Bytes trailing = open;
  trailing.push_back(0);
  const Row rows[] = {
      {"empty", {}, CodecError::Malformed},
      {"truncated", truncated, CodecError::Malformed},
      {"trailing byte", trailing, CodecError::TrailingBytes},
      {"oversized", Bytes(kMaxDatagramBytes + 1, 0x90), CodecError::TooLarge},
      {"a number", {0x05}, CodecError::Malformed},
      {"empty array", {0x90}, CodecError::Malformed},
      {"unknown type", {0x91, 0x7f}, CodecError::UnknownType},
      {"too few fields", {0x91, 0x00}, CodecError::BadField},
      {"negative port",
       {0x93, 0x00, 0x92, 0x01, 0xff, 0x93, 0x01, 0x02, 0x03},
       CodecError::BadField},
      {"attempt above 255",
       {0x93, 0x00, 0x92, 0x01, 0x01, 0x93, 0x01, 0x02, 0xcd, 0x01, 0x00},
       CodecError::BadField},
      {"unknown reason", {0x94, 0x08, 0x93, 0x01, 0x02, 0x03, 0x7f, 0x01}, CodecError::BadField},
      {"array longer than the datagram", {0xdd, 0xff, 0xff, 0xff, 0xff}, CodecError::Malformed},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    const auto decoded = decodeDatagram(row.bytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error() == row.error);
  }
}

}  // namespace
}  // namespace lugfork
