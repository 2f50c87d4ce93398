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

/** Current time in these tests [Unix ms]. */
constexpr std::uint64_t kNowMs = 1'764'700'000'000;

struct FixedTime : TimeSource {
  MonotonicTime monotonicTime() const override { return MonotonicTime(); }
  SystemTime systemTime() const override {
    return SystemTime(milliseconds(static_cast<std::int64_t>(kNowMs)));
  }
};

const FixedTime kTime;
const StoreRecordDecoder kDecoder(kTime);

nlohmann::json validEntry() {
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

TEST_CASE("a page is decoded", "[store_codec]") {
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

TEST_CASE("changes are decoded", "[store_codec]") {
  const auto changes = decodeChanges(
      R"({"events":[{"key":"my/leader","value":"bm9kZS0x","revision":412,"created":412},)"
      R"({"key":"my/old","revision":413,"gone":true}],"at":413})");
  REQUIRE(changes);
  REQUIRE(changes.value().changes.size() == 2);
  CHECK_FALSE(changes.value().changes[0].deleted);
  CHECK(changes.value().changes[1].deleted);
  CHECK(changes.value().changes[1].item.revision == 413);
}

TEST_CASE("a body with another structure is malformed", "[store_codec]") {
  const std::string body =
      GENERATE(as<std::string>(), "", "{", "[]", "null", R"({"items":[]})", R"({"at":1})",
               R"({"items":[{"key":"a"}],"at":1,"more":true,"events":1})",
               R"({"items":[],"events":[],"at":"x"})", R"({"items":[{"key":"a","revision":)");
  REQUIRE_FALSE(decodePage(body));
  CHECK(decodePage(body).error() == SourceError::Malformed);
  CHECK_FALSE(decodeChanges(body));
}

TEST_CASE("arbitrary text is decoded or rejected without another failure", "[store_codec]") {
  rc::prop("arbitrary text is a page or malformed", [](const std::string& body) {
    (void)decodePage(body);
    (void)decodeChanges(body);
    (void)kDecoder.decode("op/config", body);
    (void)kDecoder.decode("servers/i-1", body);
  });
}

TEST_CASE("request targets are URL-encoded", "[store_codec]") {
  CHECK(pageTarget({"servers/", "servers/i 1", ReadConsistency::MayBeStale}) ==
        "/kv-range?path_prefix=servers%2f&after=servers%2fi%201&stale=1");
  CHECK(watchTarget({"op/", 411, seconds(20)}) ==
        "/kv-watch?path_prefix=op%2f&after=411&wait_ms=20000");
}

TEST_CASE("an item that can't be decoded is counted and doesn't affect others", "[store_codec]") {
  const std::string invalid = GENERATE(
      as<std::string>(), R"({"key":"b"})", R"({"revision":1})", R"({"key":7,"revision":1})",
      R"({"key":"b","revision":"1"})", R"({"key":"b","revision":-1})",
      R"({"key":"b","revision":1.5})", R"({"key":"b","revision":true})", "7", "null", "[[[]]]");
  const std::string valid_1 = R"({"key":"a","revision":1,"value":"bm9kZS0x"},)";
  const std::string valid_2 = R"(,{"key":"c","revision":3,"value":"bm9kZS0x"}],"at":5)";
  const auto page = decodePage(R"({"items":[)" + valid_1 + invalid + valid_2 + R"(,"more":true})");
  REQUIRE(page);
  REQUIRE(page.value().items.size() == 2);
  CHECK(page.value().items[1].key == "c");
  CHECK(page.value().unreadable == 1);
  const auto changes = decodeChanges(R"({"events":[)" + valid_1 + invalid + valid_2 + "}");
  REQUIRE(changes);
  CHECK(changes.value().changes.size() == 2);
  CHECK(changes.value().unreadable == 1);
}

TEST_CASE("an item with an invalid value keeps its key and has no valid record", "[store_codec]") {
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

TEST_CASE("the start time of a backend is decoded from its entry", "[store_codec]") {
  const auto read = [](const nlohmann::json& entry) {
    return kDecoder.decode("servers/i-7f", entry.dump());
  };
  nlohmann::json entry = validEntry();
  const auto record = read(entry);
  REQUIRE(record);
  CHECK(std::get<BackendRecord>(record.value()).started_ms == kNowMs - 5000);
  entry["born"] = kNowMs + 60'000;  // Clock skew.
  CHECK(read(entry));
  entry.erase("born");
  REQUIRE(read(entry));
  CHECK(std::get<BackendRecord>(read(entry).value()).started_ms == 0);
}

TEST_CASE("an entry with one invalid field is rejected with the name of the field",
          "[store_codec]") {
  const std::vector<nlohmann::json> invalid_values = {nullptr,
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
  const nlohmann::json valid_entry = validEntry();
  for (const auto& [field, good] : valid_entry.items()) {
    nlohmann::json entry = validEntry();
    entry.erase(field);
    const auto without = decodeBackendEntry("i-7f", entry.dump(), kTime.systemTime());
    CHECK(without.has_value() == (field == "born"));
    for (const nlohmann::json& value : invalid_values) {
      const bool is_text = field == "service" || field == "zone" || field == "version";
      const bool is_valid =
          (is_text && value.is_string() && !value.get_ref<const std::string&>().empty()) ||
          (field == "seq" && value.is_number_unsigned());
      entry[field] = value;
      const auto text = entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
      INFO(text);
      const auto read = decodeBackendEntry("i-7f", text, kTime.systemTime());
      CHECK(read.has_value() == is_valid);
      if (!read) {
        CHECK(read.error().text.starts_with(field + ": "));
      }
    }
  }
  for (const std::uint64_t start : std::vector<std::uint64_t>{0, kNowMs + 3'700'000, ~0ULL}) {
    nlohmann::json entry = validEntry();
    entry["born"] = start;
    CHECK_FALSE(decodeBackendEntry("i-7f", entry.dump(), kTime.systemTime()));
  }
}

TEST_CASE("a corrupted entry doesn't affect other entries of the same page", "[store_codec]") {
  const auto random = makeSeededRandom(22);
  const std::string good = validEntry().dump();
  for (int round = 0; round < 2000; ++round) {
    std::string corrupted = good;
    switch (random->below(5)) {
      case 0:
        corrupted.resize(random->below(good.size()));
        break;
      case 1:
        corrupted = std::string(10'000, round % 2 == 0 ? '[' : '{');
        break;
      case 2:
        corrupted = R"({"a":)" + std::string(500, '[') + std::string(500, ']') + "}";
        break;
      default:
        for (int change = 0; change < 3; ++change) {
          corrupted[random->below(corrupted.size())] = static_cast<char>(random->next());
        }
    }
    const std::string body =
        R"({"items":[{"key":"servers/i-1","revision":1,"value":")" + base64(good) +
        R"("},{"key":"servers/i-2","revision":2,"value":")" + base64(corrupted) +
        R"("},{"key":"servers/i-3","revision":3,"value":")" + base64(good) + R"("}],"at":5})";
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

TEST_CASE("the entry of a backend is decoded", "[store_codec]") {
  const auto record = kDecoder.decode(
      "servers/i-7f3a91c2ff",
      R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"charguia","version":"v1",)"
      R"("capacity":2,"state":"draining","warmup_left_ms":70,"seq":4})");
  REQUIRE(record);
  const auto& backend = std::get<BackendRecord>(record.value());
  CHECK(backend.server_id == 0x7f3a91c2ff);
  CHECK(backend.service == "huvo11a");
  CHECK(backend.address == Endpoint{0x0a800009, 8080});
  CHECK(backend.zone == "charguia");
  CHECK(backend.slots == 2);
  CHECK(backend.state == BackendState::Draining);
  CHECK(backend.warmup_left_ms == 70);
}

TEST_CASE("an invalid entry is rejected with a reason", "[store_codec]") {
  const std::string value = GENERATE(
      as<std::string>(), "", "{}", R"({"service":"a","address":"x","zone":"z","capacity":2})",
      R"({"service":"a","address":"1.2.3.4:80","zone":"z","capacity":2,"state":"lost"})",
      R"({"service":"a","address":"1.2.3:80","zone":"z","capacity":2,"state":"ready"})",
      R"({"service":7,"address":"1.2.3.4:80","zone":"z","capacity":2,"state":"ready"})");
  const auto record = kDecoder.decode("servers/i-7f", value);
  REQUIRE_FALSE(record);
  CHECK_FALSE(record.error().text.empty());
}

TEST_CASE("the operator's configuration is decoded", "[store_codec]") {
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
  REQUIRE(table.routes[0].services.size() == 2);
  CHECK(table.routes[0].services[0].weight == 90);
  CHECK(table.routes[1].services[0].service == "wuno96b");
  CHECK_FALSE(table.routes[0].bulk);
  CHECK(table.routes[1].bulk);
  REQUIRE(table.warmups.size() == 3);
  CHECK(table.warmups[0].service == "huvo11a");
  CHECK(table.warmups[0].flows_per_minute == 750);
  CHECK(table.warmups[1].flows_per_minute == 0);
  CHECK(table.warmups[2].service == "other");
}

TEST_CASE("an invalid configuration is rejected as a whole", "[store_codec]") {
  const std::string value =
      GENERATE(as<std::string>(), "", "7", R"({"version":1})", R"({"version":"x","routes":[]})",
               R"({"version":1,"routes":[{"host":"1.2.3.4","path_prefix":"443","service":"a"}]})",
               R"({"version":1,"routes":[{"host":"1.2.3","path_prefix":"/443/","service":"a"}]})",
               R"({"version":1,"routes":[{"host":"1.2.3.4","path_prefix":"/443/"}]})");
  CHECK_FALSE(kDecoder.decode("op/config", value));
}

TEST_CASE("a zone that the operator evacuates is out of service", "[store_codec]") {
  const auto record = kDecoder.decode("op/evacuate/lac", "{}");
  REQUIRE(record);
  REQUIRE(std::holds_alternative<ZoneOutOfService>(record.value()));
  CHECK(std::get<ZoneOutOfService>(record.value()).zone == "lac");
  const auto without_name = kDecoder.decode("op/evacuate/", "{}");
  REQUIRE(without_name);
  CHECK(std::holds_alternative<IrrelevantItem>(without_name.value()));
}

TEST_CASE("items with other keys are irrelevant", "[store_codec]") {
  const auto record = kDecoder.decode("op/other", "not json");
  REQUIRE(record);
  CHECK(std::holds_alternative<IrrelevantItem>(record.value()));
}

TEST_CASE("platform ids are hexadecimal after the last hyphen", "[store_codec]") {
  CHECK(parsePlatformId("i-7f3a91c2") == 0x7f3a91c2);
  CHECK(parsePlatformId("a-b-ff") == 0xff);
  CHECK(parsePlatformId("ff") == 0xff);
  CHECK(parsePlatformId("i-xyz") == 0);
  CHECK(parsePlatformId("i-") == 0);
  CHECK(parsePlatformId("i-1ffffffffffffffff") == 0);
}

}  // namespace
}  // namespace lugfork::platform
