#include "runtime/json_log_line.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

namespace lugfork {
namespace {

using namespace std::string_literals;

const LogOrigin kOrigin = {"lugfork-packetd", "edge-\"1\"", "z\xc3\xbcrich"};

SystemTime atMilliseconds(std::int64_t unix_ms) {
  return SystemTime(milliseconds(unix_ms));
}

/** @return the line as serialised from a JSON document of the same fields. */
std::string expectedLine(const std::string& time, const std::string& level,
                         const std::string& component, const std::string& event,
                         std::initializer_list<LogField> fields, std::uint64_t lines_dropped) {
  nlohmann::ordered_json line;
  line["time"] = time;
  line["level"] = level;
  line["program"] = kOrigin.program;
  line["component"] = component;
  line["node"] = kOrigin.node;
  line["zone"] = kOrigin.zone;
  line["event"] = event;
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
  }
  if (lines_dropped > 0) {
    line["lines_left_out_before"] = lines_dropped;
  }
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

TEST_CASE("a log line equals its serialised JSON document byte for byte", "[log]") {
  const std::initializer_list<LogField> fields = {
      {"text", "plain"},
      {"empty", ""},
      {"quotes", "a \"b\" \\ c"},
      {"control", "tab\t line\n return\r bell\a zero\0 escape\x1b delete\x7f"s},
      {"two_bytes", "z\xc3\xbcrich"},
      {"not_utf8", "a\xff\xc3"},
      {"slash", "/443/"},
      {"least", std::numeric_limits<std::int64_t>::min()},
      {"most", std::numeric_limits<std::int64_t>::max()},
      {"zero", 0},
      {"unsigned", 4294967295U},
      {"whole", 5.0},
      {"part", 0.1},
      {"small", 1e-9},
      {"infinite", std::numeric_limits<double>::infinity()},
      {"yes", true},
      {"no", false}};
  JsonLogLine line(kOrigin);
  CHECK(line.build(atMilliseconds(1767323045678), {LogLevel::Warn, "flow", "event", fields, 0}) ==
        expectedLine("2026-01-02T03:04:05.678Z", "warn", "flow", "event", fields, 0));
  CHECK(line.build(atMilliseconds(1767323045679), {LogLevel::Error, "fl\"ow", "e\nv", {}, 17}) ==
        expectedLine("2026-01-02T03:04:05.679Z", "error", "fl\"ow", "e\nv", {}, 17));
}

TEST_CASE("the timestamp is correct when the clock advances, jumps ahead or jumps back", "[log]") {
  JsonLogLine line(kOrigin);
  const auto time_of = [&](std::int64_t unix_ms) {
    const auto parsed =
        nlohmann::json::parse(line.build(atMilliseconds(unix_ms), {LogLevel::Info, "c", "e", {}}));
    return parsed["time"].get<std::string>();
  };
  CHECK(time_of(1767323045999) == "2026-01-02T03:04:05.999Z");
  CHECK(time_of(1767323046000) == "2026-01-02T03:04:06.000Z");
  CHECK(time_of(1767323046007) == "2026-01-02T03:04:06.007Z");
  CHECK(time_of(1767409446070) == "2026-01-03T03:04:06.070Z");
  CHECK(time_of(1767323045001) == "2026-01-02T03:04:05.001Z");
  CHECK(time_of(0) == "1970-01-01T00:00:00.000Z");
  CHECK(time_of(1709251199999) == "2024-02-29T23:59:59.999Z");
  CHECK(time_of(1709251200000) == "2024-03-01T00:00:00.000Z");
}

TEST_CASE("log levels are written by name", "[log]") {
  JsonLogLine line(kOrigin);
  const auto level_of = [&](LogLevel level) {
    const auto parsed = nlohmann::json::parse(line.build(atMilliseconds(0), {level, "c", "e", {}}));
    return parsed["level"].get<std::string>();
  };
  CHECK(level_of(LogLevel::Debug) == "debug");
  CHECK(level_of(LogLevel::Info) == "info");
  CHECK(level_of(LogLevel::Warn) == "warn");
  CHECK(level_of(LogLevel::Error) == "error");
}

}  // namespace
}  // namespace lugfork
