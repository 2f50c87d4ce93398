#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "flow/token.h"
#include "wire/datagram_codec.h"

namespace lugfork {
namespace {

rc::Gen<Bytes> bytesUpTo(std::size_t size) {
  return rc::gen::mapcat(rc::gen::inRange<std::size_t>(0, size + 1), [](std::size_t count) {
    return rc::gen::container<Bytes>(count, rc::gen::arbitrary<std::uint8_t>());
  });
}

FlowKey arbitraryKey() {
  return FlowKey{{*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()},
                 *rc::gen::arbitrary<std::uint8_t>()};
}

Endpoint arbitraryEndpoint() {
  return Endpoint{*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
}

std::uint32_t arbitraryNumber() {
  return *rc::gen::arbitrary<std::uint32_t>();
}

Datagram arbitraryDatagram() {
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return Open{arbitraryEndpoint(), arbitraryKey()};
    case 1:
      return Data{arbitraryEndpoint(),
                  arbitraryKey(),
                  *bytesUpTo(60),
                  arbitraryNumber(),
                  *rc::gen::arbitrary<bool>(),
                  arbitraryNumber(),
                  *bytesUpTo(kMaxPayloadBytes)};
    case 2:
      return Answer{arbitraryKey(),    ServiceId(arbitraryNumber()), BackendId(arbitraryNumber()),
                    arbitraryNumber(), *rc::gen::arbitrary<bool>(),  *bytesUpTo(kMaxPayloadBytes)};
    case 3:
      return Refused{arbitraryKey(), Reason::Draining, arbitraryNumber(), *bytesUpTo(60),
                     *rc::gen::element(RefusalScope::Placement, RefusalScope::Attempt)};
    case 4:
      return Forward{
          arbitraryEndpoint(), BackendId(arbitraryNumber()), ServiceId(arbitraryNumber()),
          *rc::gen::element(ForwardMode::MayStart, ForwardMode::ContinueOnly), *bytesUpTo(1200)};
    default:
      return BackendRefusal{arbitraryEndpoint(),
                            arbitraryKey(),
                            ServiceId(arbitraryNumber()),
                            BackendId(arbitraryNumber()),
                            Reason::Overloaded,
                            *rc::gen::arbitrary<bool>(),
                            arbitraryNumber()};
  }
}

/** Bytes that decode to a datagram must decode again after re-encoding it. */
void checkReencodable(const Bytes& bytes) {
  const auto decoded = decodeDatagram(bytes);
  if (decoded) {
    RC_ASSERT(decodeDatagram(encodeDatagram(decoded.value())).has_value());
  }
}

TEST_CASE("datagrams with arbitrary content are encoded and decoded without loss") {
  rc::prop("decoding returns the encoded datagram", [] {
    const Datagram datagram = arbitraryDatagram();
    const Bytes bytes = encodeDatagram(datagram);
    const auto decoded = decodeDatagram(bytes);
    RC_ASSERT(bytes.size() <= kMaxDatagramBytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().index() == datagram.index());
    RC_ASSERT(encodeDatagram(decoded.value()) == bytes);
  });
}

TEST_CASE("arbitrary bytes decode to a datagram or an error") {
  rc::prop("arbitrary bytes", [] { checkReencodable(*bytesUpTo(200)); });
  rc::prop("a corrupted or truncated datagram", [] {
    Bytes bytes = encodeDatagram(arbitraryDatagram());
    for (int changes_left = *rc::gen::inRange(0, 4); changes_left > 0; --changes_left) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    checkReencodable(bytes);
  });
}

TEST_CASE("a token opens for its own flow only") {
  TokenKey key;
  key.id = KeyId(3);
  key.secret.fill(0x11);
  key.seals = true;
  Configuration configuration;
  configuration.keys = {key};
  const ConfigurationView view(configuration);
  rc::prop("a sealed placement opens unchanged, and doesn't open after modification", [&] {
    Placement placement;
    placement.key = arbitraryKey();
    placement.service = ServiceId(arbitraryNumber());
    placement.backend = BackendId(arbitraryNumber());
    placement.zone = ZoneId(*rc::gen::arbitrary<std::uint16_t>());
    placement.backend_address = arbitraryEndpoint();
    placement.config_version = ConfigVersion(arbitraryNumber());
    placement.placed_at = SystemTime(Duration(arbitraryNumber()));
    TokenBytes token = sealToken(placement, key);
    const auto opened = openToken(token, placement.key, view);
    RC_ASSERT(opened.has_value());
    RC_ASSERT(opened.value().service == placement.service);
    RC_ASSERT(opened.value().backend == placement.backend);
    RC_ASSERT(opened.value().zone == placement.zone);
    RC_ASSERT(opened.value().backend_address == placement.backend_address);
    RC_ASSERT(opened.value().config_version == placement.config_version);
    RC_ASSERT(opened.value().placed_at == placement.placed_at);
    const FlowKey other = arbitraryKey();
    RC_ASSERT(other == placement.key || !openToken(token, other, view).has_value());
    token[*rc::gen::inRange<std::size_t>(0, token.size())] ^=
        *rc::gen::inRange<std::uint8_t>(1, 255);
    RC_ASSERT(!openToken(token, placement.key, view).has_value());
  });
}

}  // namespace
}  // namespace lugfork
