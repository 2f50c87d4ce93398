#include "wire/record_codec.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const CompactRecordDecoder kDecoder;

BackendRecord sampleServer() {
  BackendRecord server;
  server.server_id = 0xab12cd34ef;
  server.name = "i-ab12cd34ef";
  server.service = "listen";
  server.address = {0x0a010203, 7001};
  server.zone = "lac";
  server.slots = 2;
  server.state = BackendState::Draining;
  server.warmup_left_ms = 1500;
  return server;
}

TEST_CASE("a server's record is read as it was written, its name from the key", "[record_codec]") {
  const BackendRecord server = sampleServer();
  const auto record = kDecoder.decode("server/i-ab12cd34ef", encodeRecord(PlatformRecord(server)));
  REQUIRE(record);
  const auto& read = std::get<BackendRecord>(record.value());
  CHECK(read.server_id == server.server_id);
  CHECK(read.name == server.name);
  CHECK(read.service == server.service);
  CHECK(read.address == server.address);
  CHECK(read.zone == server.zone);
  CHECK(read.slots == server.slots);
  CHECK(read.state == server.state);
  CHECK(read.warmup_left_ms == server.warmup_left_ms);
}

TEST_CASE("routes, irrelevant items and problems are read as they were written", "[record_codec]") {
  const RouteTable table{
      9, {{{0xc6120001, 443}, {{"listen", 90}, {"ingest", 10}}, true}}, {{"listen", 750}}};
  const auto routes = kDecoder.decode("routes", encodeRecord(PlatformRecord(table)));
  REQUIRE(routes);
  const auto& read = std::get<RouteTable>(routes.value());
  CHECK(read.version == 9);
  REQUIRE(read.routes.size() == 1);
  CHECK(read.routes[0].address == Endpoint{0xc6120001, 443});
  REQUIRE(read.routes[0].services.size() == 2);
  CHECK(read.routes[0].services[1].service == "ingest");
  CHECK(read.routes[0].services[1].weight == 10);
  CHECK(read.routes[0].bulk);
  REQUIRE(read.warmups.size() == 1);
  CHECK(read.warmups[0].flows_per_minute == 750);

  const auto irrelevant = kDecoder.decode("x", encodeRecord(PlatformRecord(IrrelevantItem{})));
  REQUIRE(irrelevant);
  CHECK(std::holds_alternative<IrrelevantItem>(irrelevant.value()));

  const auto problem = kDecoder.decode("x", encodeRecord(RecordProblem{"no address"}));
  REQUIRE_FALSE(problem);
  CHECK(problem.error().text == "no address");
}

TEST_CASE("a zone out of service is read as it was written", "[record_codec]") {
  const auto record = kDecoder.decode("x", encodeRecord(PlatformRecord(ZoneOutOfService{"lac"})));
  REQUIRE(record);
  REQUIRE(std::holds_alternative<ZoneOutOfService>(record.value()));
  CHECK(std::get<ZoneOutOfService>(record.value()).zone == "lac");
}

TEST_CASE("a record that is cut, longer or of another form is a problem", "[record_codec]") {
  const std::string good = encodeRecord(PlatformRecord(sampleServer()));
  CHECK_FALSE(kDecoder.decode("a", ""));
  CHECK_FALSE(kDecoder.decode("a", "{}"));
  CHECK_FALSE(kDecoder.decode("a", good + "x"));
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK_FALSE(kDecoder.decode("a", good.substr(0, size)));
  }
}

}  // namespace
}  // namespace lugfork
