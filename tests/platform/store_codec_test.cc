#include "store_codec.h"

#include <rapidcheck/catch.h>
#include <sodium.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "common/random_generator.h"
#include "server_entry.h"

namespace lugfork::platform {
namespace {

/** The time of day in these tests. */
constexpr std::uint64_t kNowMs = 1'764'700'000'000;

struct FixedTime : TimeSource {
  MonotonicTime monotonicTime() const override { return MonotonicTime(); }
  SystemTime systemTime() const override {
    return SystemTime(milliseconds(static_cast<std::int64_t>(kNowMs)));
  }
};

const FixedTime kTime;
const StoreRecordDecoder kDecoder(kTime);

nlohmann::json goodEntry() {
  return {{"service", "huvo11a"}, {"address", "10.128.0.9:8080"},
          {"zone", "charguia"},   {"version", "v1"},
          {"capacity", 2},        {"state", "ready"},
          {"warmup_left_ms", 70}, {"seq", 4},
          {"born", kNowMs - 5000}};
}

std::string base64(const std::string& text) {
  std::string encoded(sodium_base64_ENCODED_LEN(text.size(), sodium_base64_VARIANT_ORIGINAL), ' ');
  sodium_bin2base64(encoded.data(), encoded.size(),
                    reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  encoded.pop_back();
  return encoded;
}

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
               R"({"items":[{"key":"a"}],"at":1,"more":true,"events":1})",
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

TEST_CASE("an item that can't be read costs itself only", "[store_codec]") {
  const std::string bad = GENERATE(as<std::string>(), R"({"key":"b"})", R"({"revision":1})",
                                   R"({"key":7,"revision":1})", R"({"key":"b","revision":"1"})",
                                   R"({"key":"b","revision":-1})", R"({"key":"b","revision":1.5})",
                                   R"({"key":"b","revision":true})", "7", "null", "[[[]]]");
  const std::string good_1 = R"({"key":"a","revision":1,"value":"bm9kZS0x"},)";
  const std::string good_2 = R"(,{"key":"c","revision":3,"value":"bm9kZS0x"}],"at":5)";
  const auto page = decodePage(R"({"items":[)" + good_1 + bad + good_2 + R"(,"more":true})");
  REQUIRE(page);
  REQUIRE(page.value().items.size() == 2);
  CHECK(page.value().items[1].key == "c");
  CHECK(page.value().unreadable == 1);
  const auto changes = decodeChanges(R"({"events":[)" + good_1 + bad + good_2 + "}");
  REQUIRE(changes);
  CHECK(changes.value().changes.size() == 2);
  CHECK(changes.value().unreadable == 1);
}

TEST_CASE("an item whose value can't be read keeps its key and names nothing", "[store_codec]") {
  const std::string value = GENERATE(as<std::string>(), R"("%%")", "7", "null", R"("AB")", "{}");
  const auto page =
      decodePage(R"({"items":[{"key":"servers/i-1","revision":9,"value":)" + value +
                 R"(},{"key":"servers/i-2","revision":3,"value":"bm9kZS0x"}],"at":5})");
  REQUIRE(page);
  REQUIRE(page.value().items.size() == 2);
  const auto record = kDecoder.decode("servers/i-1", page.value().items[0].value);
  REQUIRE_FALSE(record);
  CHECK(record.error().text == "the entry is no JSON object");
}

TEST_CASE("a server's entry tells its start", "[store_codec]") {
  const auto read = [](const nlohmann::json& entry) {
    return kDecoder.decode("servers/i-7f", entry.dump());
  };
  nlohmann::json entry = goodEntry();
  const auto record = read(entry);
  REQUIRE(record);
  CHECK(std::get<ServerRecord>(record.value()).started_ms == kNowMs - 5000);
  entry["born"] = kNowMs + 60'000;  // Clocks differ.
  CHECK(read(entry));
  entry.erase("born");
  REQUIRE(read(entry));
  CHECK(std::get<ServerRecord>(read(entry).value()).started_ms == 0);
}

TEST_CASE("an entry with one wrong field names no server, and says which", "[store_codec]") {
  const std::vector<nlohmann::json> wrong = {nullptr,
                                             true,
                                             -1,
                                             2.5,
                                             1e300,
                                             "",
                                             "x\xff",
                                             "text",
                                             nlohmann::json::array(),
                                             nlohmann::json::object(),
                                             ~0ULL};
  const nlohmann::json all_good = goodEntry();
  for (const auto& [field, good] : all_good.items()) {
    nlohmann::json entry = goodEntry();
    entry.erase(field);
    const auto without = decodeBackendEntry("i-7f", entry.dump(), kTime.systemTime());
    CHECK(without.has_value() == (field == "born"));
    for (const nlohmann::json& value : wrong) {
      const bool is_text = field == "service" || field == "zone" || field == "version";
      const bool fits =
          (is_text && value.is_string() && !value.get_ref<const std::string&>().empty()) ||
          (field == "seq" && value.is_number_unsigned());
      entry[field] = value;
      const auto text = entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
      INFO(text);
      const auto read = decodeBackendEntry("i-7f", text, kTime.systemTime());
      CHECK(read.has_value() == fits);
      if (!read) {
        CHECK(read.error().text.starts_with(field + ": "));
      }
    }
  }
  for (const std::uint64_t start : std::vector<std::uint64_t>{0, kNowMs + 3'700'000, ~0ULL}) {
    nlohmann::json entry = goodEntry();
    entry["born"] = start;
    CHECK_FALSE(decodeBackendEntry("i-7f", entry.dump(), kTime.systemTime()));
  }
}

TEST_CASE("whatever others write, the servers beside it are all read", "[store_codec]") {
  const auto random = makeSeededRandom(22);
  const std::string good = goodEntry().dump();
  for (int round = 0; round < 2000; ++round) {
    std::string foreign = good;
    switch (random->below(5)) {
      case 0:
        foreign.resize(random->below(good.size()));
        break;
      case 1:
        foreign = std::string(10'000, round % 2 == 0 ? '[' : '{');
        break;
      case 2:
        foreign = R"({"a":)" + std::string(500, '[') + std::string(500, ']') + "}";
        break;
      default:
        for (int change = 0; change < 3; ++change) {
          foreign[random->below(foreign.size())] = static_cast<char>(random->next());
        }
    }
    const std::string body = R"({"items":[{"key":"servers/i-1","revision":1,"value":")" +
                             base64(good) + R"("},{"key":"servers/i-2","revision":2,"value":")" +
                             base64(foreign) + R"("},{"key":"servers/i-3","revision":3,"value":")" +
                             base64(good) + R"("}],"at":5})";
    const auto page = decodePage(body);
    REQUIRE(page);
    REQUIRE(page.value().items.size() == 3);
    CHECK(kDecoder.decode("servers/i-1", page.value().items[0].value));
    CHECK(kDecoder.decode("servers/i-3", page.value().items[2].value));
    const auto record = kDecoder.decode("servers/i-2", page.value().items[1].value);
    if (!record) {
      const std::string& text = record.error().text;
      CHECK(std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; }));
    }
  }
}

TEST_CASE("a server's entry is read", "[store_codec]") {
  const auto record = kDecoder.decode(
      "servers/i-7f3a91c2ff",
      R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"charguia","version":"v1",)"
      R"("capacity":2,"state":"draining","warmup_left_ms":70,"seq":4})");
  REQUIRE(record);
  const auto& server = std::get<ServerRecord>(record.value());
  CHECK(server.server_id == 0x7f3a91c2ff);
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
  REQUIRE(table.warmups.size() == 3);
  CHECK(table.warmups[0].service == "huvo11a");
  CHECK(table.warmups[0].flows_per_minute == 750);
  CHECK(table.warmups[1].flows_per_minute == 0);
  CHECK(table.warmups[2].service == "other");
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
  CHECK(parsePlatformId("i-7f3a91c2") == 0x7f3a91c2);
  CHECK(parsePlatformId("a-b-ff") == 0xff);
  CHECK(parsePlatformId("ff") == 0xff);
  CHECK(parsePlatformId("i-xyz") == 0);
  CHECK(parsePlatformId("i-") == 0);
  CHECK(parsePlatformId("i-1ffffffffffffffff") == 0);
}

}  // namespace
}  // namespace lugfork::platform
