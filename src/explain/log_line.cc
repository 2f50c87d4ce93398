#include "explain/log_line.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace lugfork {

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;
constexpr std::size_t kTimeSize = std::string_view("2026-01-02T03:04:05.678Z").size();
/** Fields that every line has; left out of LogLine::fields. */
constexpr std::array<const char*, 7> kCommonFields = {"time", "level", "program", "component",
                                                      "node", "zone",  "event"};

/** Parses an RFC 3339 time in UTC such as "2026-01-02T03:04:05.678Z". */
std::optional<std::int64_t> parseTime(const std::string& text) {
  std::tm parts{};
  std::istringstream input(text);
  int milliseconds = 0;
  char point = 0;
  input >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> point >> milliseconds;
  if (input.fail() || point != '.' || text.size() != kTimeSize) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(timegm(&parts)) * kMillisecondsPerSecond + milliseconds;
}

}  // namespace

std::string LogLine::text(const char* field) const {
  const auto found = fields.find(field);
  if (found == fields.end()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::optional<std::uint64_t> LogLine::number(const char* field) const {
  const auto found = fields.find(field);
  if (found == fields.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

std::optional<LogLine> parseLogLine(const std::string& text) {
  const auto brace = text.find('{');
  if (brace == std::string::npos) {
    return std::nullopt;
  }
  auto object = nlohmann::ordered_json::parse(text.begin() + static_cast<std::ptrdiff_t>(brace),
                                              text.end(), nullptr, false);
  if (!object.is_object() || !object.contains("time") || !object["time"].is_string() ||
      !object.contains("event") || !object["event"].is_string()) {
    return std::nullopt;
  }
  const auto time = parseTime(object["time"].get<std::string>());
  if (!time) {
    return std::nullopt;
  }
  LogLine line;
  line.time_ms = *time;
  line.event = object["event"].get<std::string>();
  line.fields = std::move(object);
  line.node = line.text("node");
  for (const char* field : kCommonFields) {
    line.fields.erase(field);
  }
  return line;
}

std::string formatTimeOfDay(std::int64_t time_ms) {
  const auto whole_seconds = static_cast<std::time_t>(time_ms / kMillisecondsPerSecond);
  std::tm parts{};
  gmtime_r(&whole_seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
       << time_ms % kMillisecondsPerSecond;
  return text.str();
}

}  // namespace lugfork
