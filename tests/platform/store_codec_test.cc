#include "store_codec.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace lugfork::platform {
namespace {

const StoreRecordDecoder kDecoder;

TEST_CASE("a page is read", "[store_codec]") {
  const auto page =
      decodePage(R"({"items":[{"key":"my/leader","value":"bm9kZS0x","revision":412,"created":400,)"
                 R"("lease":77120}],"more":true,"at":530})");
  REQUIRE(page);
  CHECK(page.value().at == 530);
  CHECK(page.value().more);
  REQUIRE(page.value().items.size() == 1);
  CHECK(page.value().items[0].value == "node-1");
  CHECK(page.value().items[0].revision == 412);
  CHECK(page.value().items[0].created == 400);
}

TEST_CASE("changes are read", "[store_codec]") {
  const auto changes = decodeChanges(
      R"({"events":[{"key":"my/leader","value":"bm9kZS0x","revision":412,"created":412},)"
      R"({"key":"my/old","revision":413,"gone":true}],"at":413})");
  REQUIRE(changes);
  REQUIRE(changes.value().changes.size() == 2);
  CHECK_FALSE(changes.value().changes[0].deleted);
  CHECK(changes.value().changes[1].deleted);
  CHECK(changes.value().changes[1].item.revision == 413);
}

TEST_CASE("a body of another form is malformed", "[store_codec]") {
  const std::string body =
      GENERATE(as<std::string>(), "", "{", "[]", "null", R"({"items":[]})", R"({"at":1})",
               R"({"items":[{"key":"a"}],"at":1,"events":[{"revision":1}]})",
               R"({"items":[{"key":"a","revision":1,"value":"%%"}],"at":1,"events":[1]})",
               R"({"items":[],"events":[],"at":"x"})", R"({"items":[{"key":"a","revision":)");
  REQUIRE_FALSE(decodePage(body));
  CHECK(decodePage(body).error() == SourceError::Malformed);
  CHECK_FALSE(decodeChanges(body));
}

TEST_CASE("no body makes the codec fail otherwise", "[store_codec]") {
  rc::prop("any text is a page or malformed", [](const std::string& body) {
    (void)decodePage(body);
    (void)decodeChanges(body);
    (void)kDecoder.decode("op/config", body);
    (void)kDecoder.decode("servers/i-1", body);
  });
}

TEST_CASE("targets of calls are encoded", "[store_codec]") {
  CHECK(pageTarget({"servers/", "servers/i 1", ReadConsistency::MayBeStale}) ==
        "/kv-range?path_prefix=servers%2f&after=servers%2fi%201&stale=1");
  CHECK(watchTarget({"op/", 411, seconds(20)}) ==
        "/kv-watch?path_prefix=op%2f&after=411&wait_ms=20000");
}

TEST_CASE("a server's entry is read", "[store_codec]") {
  const auto record = kDecoder.decode(
      "servers/i-7f3a91c2ff",
      R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"charguia","version":"v1",)"
      R"("capacity":2,"state":"draining","warmup_left_ms":70,"seq":4})");
  REQUIRE(record);
  const auto& server = std::get<ServerRecord>(record.value());
  CHECK(server.incarnation == 0x7f3a91c2ff);
  CHECK(server.service == "huvo11a");
  CHECK(server.address == Endpoint{0x0a800009, 8080});
  CHECK(server.zone == "charguia");
  CHECK(server.slots == 2);
  CHECK(server.state == ServerState::Draining);
  CHECK(server.warmup_left_ms == 70);
}

TEST_CASE("a broken server entry is refused with a reason", "[store_codec]") {
  const std::string value = GENERATE(
      as<std::string>(), "", "{}", R"({"service":"a","address":"x","zone":"z","capacity":2})",
      R"({"service":"a","address":"1.2.3.4:80","zone":"z","capacity":2,"state":"lost"})",
      R"({"service":"a","address":"1.2.3:80","zone":"z","capacity":2,"state":"ready"})",
      R"({"service":7,"address":"1.2.3.4:80","zone":"z","capacity":2,"state":"ready"})");
  const auto record = kDecoder.decode("servers/i-7f", value);
  REQUIRE_FALSE(record);
  CHECK_FALSE(record.error().text.empty());
}

TEST_CASE("the operator's configuration is read", "[store_codec]") {
  const auto record = kDecoder.decode(
      "op/config",
      R"({"version":7,"routes":[{"name":"r-a","host":"198.18.0.1","path_prefix":"/8443/",)"
      R"("backends":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]},)"
      R"({"name":"r-b","host":"198.18.0.2","path_prefix":"/8080/","type":"upload",)"
      R"("service":"wuno96b"}],)"
      R"("services":[{"name":"huvo11a","warmup_s":2.0,"warmup_per_s":12.5},)"
      R"({"name":"wuno96b","warmup_s":2.0,"warmup_per_s":0.0},{"name":"other"}],)"
      R"("limits":{"idle_timeout_ms":15000}})");
  REQUIRE(record);
  const auto& table = std::get<RouteTable>(record.value());
  CHECK(table.version == 7);
  REQUIRE(table.routes.size() == 2);
  CHECK(table.routes[0].address == Endpoint{0xc6120001, 8443});
  REQUIRE(table.routes[0].shares.size() == 2);
  CHECK(table.routes[0].shares[0].weight == 90);
  CHECK(table.routes[1].shares[0].service == "wuno96b");
  CHECK_FALSE(table.routes[0].bulk);
  CHECK(table.routes[1].bulk);
  REQUIRE(table.warmups.size() == 1);
  CHECK(table.warmups[0].service == "huvo11a");
  CHECK(table.warmups[0].flows_per_minute == 750);
}

TEST_CASE("a broken configuration is refused whole", "[store_codec]") {
  const std::string value =
      GENERATE(as<std::string>(), "", "7", R"({"version":1})", R"({"version":"x","routes":[]})",
               R"({"version":1,"routes":[{"host":"1.2.3.4","path_prefix":"443","service":"a"}]})",
               R"({"version":1,"routes":[{"host":"1.2.3","path_prefix":"/443/","service":"a"}]})",
               R"({"version":1,"routes":[{"host":"1.2.3.4","path_prefix":"/443/"}]})");
  CHECK_FALSE(kDecoder.decode("op/config", value));
}

TEST_CASE("a zone that the operator empties is out of service", "[store_codec]") {
  const auto record = kDecoder.decode("op/evacuate/lac", "{}");
  REQUIRE(record);
  REQUIRE(std::holds_alternative<ZoneOutOfService>(record.value()));
  CHECK(std::get<ZoneOutOfService>(record.value()).zone == "lac");
  const auto nameless = kDecoder.decode("op/evacuate/", "{}");
  REQUIRE(nameless);
  CHECK(std::holds_alternative<IrrelevantItem>(nameless.value()));
}

TEST_CASE("keys of other kinds are passed over", "[store_codec]") {
  const auto record = kDecoder.decode("op/other", "not json");
  REQUIRE(record);
  CHECK(std::holds_alternative<IrrelevantItem>(record.value()));
}

TEST_CASE("ids are hexadecimal after the last hyphen", "[store_codec]") {
  CHECK(incarnationOf("i-7f3a91c2") == 0x7f3a91c2);
  CHECK(incarnationOf("a-b-ff") == 0xff);
  CHECK(incarnationOf("ff") == 0xff);
  CHECK(incarnationOf("i-xyz") == 0);
  CHECK(incarnationOf("i-") == 0);
  CHECK(incarnationOf("i-1ffffffffffffffff") == 0);
}

}  // namespace
}  // namespace lugfork::platform
