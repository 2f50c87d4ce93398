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

FlowKey anyKey() {
  return FlowKey{{*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()},
                 *rc::gen::arbitrary<std::uint8_t>()};
}

Endpoint anyEndpoint() {
  return Endpoint{*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
}

std::uint32_t anyNumber() {
  return *rc::gen::arbitrary<std::uint32_t>();
}

Datagram anyDatagram() {
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return Open{anyEndpoint(), anyKey()};
    case 1:
      return Data{anyEndpoint(),
                  anyKey(),
                  *bytesUpTo(60),
                  anyNumber(),
                  *rc::gen::arbitrary<bool>(),
                  anyNumber(),
                  *bytesUpTo(kMaxPayloadBytes)};
    case 2:
      return Answer{anyKey(),    ServiceId(anyNumber()),      BackendId(anyNumber()),
                    anyNumber(), *rc::gen::arbitrary<bool>(), *bytesUpTo(kMaxPayloadBytes)};
    case 3:
      return Refused{anyKey(), Reason::Draining, anyNumber(), *bytesUpTo(60),
                     *rc::gen::element(RefusalScope::Placement, RefusalScope::Attempt)};
    case 4:
      return Forward{anyEndpoint(), BackendId(anyNumber()), ServiceId(anyNumber()),
                     *rc::gen::element(ForwardMode::MayStart, ForwardMode::ContinueOnly),
                     *bytesUpTo(1200)};
    default:
      return BackendRefusal{anyEndpoint(),
                            anyKey(),
                            ServiceId(anyNumber()),
                            BackendId(anyNumber()),
                            Reason::Overloaded,
                            *rc::gen::arbitrary<bool>(),
                            anyNumber()};
  }
}

/** Bytes that are taken as a datagram must give one that is taken again. */
void checkDecoding(const Bytes& bytes) {
  const auto decoded = decodeDatagram(bytes);
  if (decoded) {
    RC_ASSERT(decodeDatagram(encodeDatagram(decoded.value())).has_value());
  }
}

TEST_CASE("datagrams of any content survive the wire") {
  rc::prop("decoding gives back what was encoded", [] {
    const Datagram datagram = anyDatagram();
    const Bytes bytes = encodeDatagram(datagram);
    const auto decoded = decodeDatagram(bytes);
    RC_ASSERT(bytes.size() <= kMaxDatagramBytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().index() == datagram.index());
    RC_ASSERT(encodeDatagram(decoded.value()) == bytes);
  });
}

TEST_CASE("any bytes are decoded to a datagram or an error") {
  rc::prop("arbitrary bytes", [] { checkDecoding(*bytesUpTo(200)); });
  rc::prop("a datagram with some bytes changed or cut off", [] {
    Bytes bytes = encodeDatagram(anyDatagram());
    for (int change = *rc::gen::inRange(0, 4); change > 0; --change) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    checkDecoding(bytes);
  });
}

TEST_CASE("tokens open for their own flow only") {
  TokenKey key;
  key.id = KeyId(3);
  key.secret.fill(0x11);
  key.seals = true;
  Configuration configuration;
  configuration.keys = {key};
  const ConfigurationView view(configuration);
  rc::prop("sealed placements open unchanged, and not after any change", [&] {
    Placement placement;
    placement.key = anyKey();
    placement.service = ServiceId(anyNumber());
    placement.backend = BackendId(anyNumber());
    placement.zone = ZoneId(*rc::gen::arbitrary<std::uint16_t>());
    placement.backend_address = anyEndpoint();
    placement.config_version = ConfigVersion(anyNumber());
    placement.placed_at = SystemTime(Duration(anyNumber()));
    TokenBytes token = sealToken(placement, key);
    const auto opened = openToken(token, placement.key, view);
    RC_ASSERT(opened.has_value());
    RC_ASSERT(opened.value().service == placement.service);
    RC_ASSERT(opened.value().backend == placement.backend);
    RC_ASSERT(opened.value().zone == placement.zone);
    RC_ASSERT(opened.value().backend_address == placement.backend_address);
    RC_ASSERT(opened.value().config_version == placement.config_version);
    RC_ASSERT(opened.value().placed_at == placement.placed_at);
    const FlowKey other = anyKey();
    RC_ASSERT(other == placement.key || !openToken(token, other, view).has_value());
    token[*rc::gen::inRange<std::size_t>(0, token.size())] ^=
        *rc::gen::inRange<std::uint8_t>(1, 255);
    RC_ASSERT(!openToken(token, placement.key, view).has_value());
  });
}

}  // namespace
}  // namespace lugfork
