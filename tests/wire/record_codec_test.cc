#include "wire/record_codec.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const CompactRecordDecoder kDecoder;

BackendRecord sampleBackend() {
  BackendRecord backend;
  backend.server_id = 0xab12cd34ef;
  backend.name = "i-ab12cd34ef";
  backend.service = "listen";
  backend.address = {0x0a010203, 7001};
  backend.zone = "lac";
  backend.slots = 2;
  backend.state = BackendState::Draining;
  backend.warmup_left_ms = 1500;
  return backend;
}

TEST_CASE("a backend record is decoded without loss, with its name from the key",
          "[record_codec]") {
  const BackendRecord backend = sampleBackend();
  const auto record = kDecoder.decode("server/i-ab12cd34ef", encodeRecord(PlatformRecord(backend)));
  REQUIRE(record);
  const auto& decoded = std::get<BackendRecord>(record.value());
  CHECK(decoded.server_id == backend.server_id);
  CHECK(decoded.name == backend.name);
  CHECK(decoded.service == backend.service);
  CHECK(decoded.address == backend.address);
  CHECK(decoded.zone == backend.zone);
  CHECK(decoded.slots == backend.slots);
  CHECK(decoded.state == backend.state);
  CHECK(decoded.warmup_left_ms == backend.warmup_left_ms);
}

TEST_CASE("routes, irrelevant items and problems are decoded without loss", "[record_codec]") {
  const RouteTable table{
      9, {{{0xc6120001, 443}, {{"listen", 90}, {"ingest", 10}}, true}}, {{"listen", 750}}};
  const auto routes = kDecoder.decode("routes", encodeRecord(PlatformRecord(table)));
  REQUIRE(routes);
  const auto& decoded = std::get<RouteTable>(routes.value());
  CHECK(decoded.version == 9);
  REQUIRE(decoded.routes.size() == 1);
  CHECK(decoded.routes[0].address == Endpoint{0xc6120001, 443});
  REQUIRE(decoded.routes[0].services.size() == 2);
  CHECK(decoded.routes[0].services[1].service == "ingest");
  CHECK(decoded.routes[0].services[1].weight == 10);
  CHECK(decoded.routes[0].bulk);
  REQUIRE(decoded.warmups.size() == 1);
  CHECK(decoded.warmups[0].flows_per_minute == 750);

  const auto irrelevant = kDecoder.decode("x", encodeRecord(PlatformRecord(IrrelevantItem{})));
  REQUIRE(irrelevant);
  CHECK(std::holds_alternative<IrrelevantItem>(irrelevant.value()));

  const auto problem = kDecoder.decode("x", encodeRecord(RecordProblem{"no address"}));
  REQUIRE_FALSE(problem);
  CHECK(problem.error().text == "no address");
}

TEST_CASE("a zone out of service is decoded without loss", "[record_codec]") {
  const auto record = kDecoder.decode("x", encodeRecord(PlatformRecord(ZoneOutOfService{"lac"})));
  REQUIRE(record);
  REQUIRE(std::holds_alternative<ZoneOutOfService>(record.value()));
  CHECK(std::get<ZoneOutOfService>(record.value()).zone == "lac");
}

TEST_CASE("a truncated, extended or malformed record is a problem", "[record_codec]") {
  const std::string encoded = encodeRecord(PlatformRecord(sampleBackend()));
  CHECK_FALSE(kDecoder.decode("a", ""));
  CHECK_FALSE(kDecoder.decode("a", "{}"));
  CHECK_FALSE(kDecoder.decode("a", encoded + "x"));
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    CHECK_FALSE(kDecoder.decode("a", encoded.substr(0, size)));
  }
}

}  // namespace
}  // namespace lugfork
