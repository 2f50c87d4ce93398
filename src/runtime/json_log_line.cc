#include "runtime/json_log_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>

namespace lugfork {

namespace {

constexpr std::int64_t kMillisecondsInSecond = 1000;

std::string_view levelName(LogLevel level) {
  switch (level) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warn:
      return "warn";
    case LogLevel::Error:
      return "error";
  }
  return "info";
}

/** @return true if the character is ASCII and needs no escape in a JSON string. */
bool isUnescapedAscii(char character) {
  constexpr char kFirstPrintable = ' ';
  constexpr char kLastAscii = 0x7f;
  return character >= kFirstPrintable && character <= kLastAscii && character != '"' &&
         character != '\\';
}

/** Appends a non-negative number, padded with leading zeros to that many digits. */
void appendPadded(std::string& line, std::int64_t number, int digits) {
  constexpr std::int64_t kBase = 10;
  std::int64_t unit = 1;
  for (int digit = 1; digit < digits; ++digit) {
    unit *= kBase;
  }
  for (; unit > 0; unit /= kBase) {
    line += static_cast<char>('0' + number / unit % kBase);
  }
}

/**
 * @return the UTC time in RFC 3339 format, without the fraction of the second. Doesn't use the C
 * library, which would read the machine's time zone, at the cost of six system calls before a
 * process's first line.
 */
std::string formatSecond(std::int64_t unix_second) {
  const std::chrono::sys_seconds time{seconds(unix_second)};
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss clock(time - day);
  std::string text;
  appendPadded(text, static_cast<int>(date.year()), 4);
  text += '-';
  appendPadded(text, static_cast<unsigned>(date.month()), 2);
  text += '-';
  appendPadded(text, static_cast<unsigned>(date.day()), 2);
  text += 'T';
  appendPadded(text, clock.hours().count(), 2);
  text += ':';
  appendPadded(text, clock.minutes().count(), 2);
  text += ':';
  appendPadded(text, clock.seconds().count(), 2);
  return text;
}

void appendNumber(std::string& line, std::int64_t number) {
  constexpr std::size_t kMaxDigits = 20;
  std::array<char, kMaxDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number);
  line.append(digits.data(), end.ptr);
}

void appendValue(std::string& line, const std::string& text) {
  appendJsonString(line, text);
}

void appendValue(std::string& line, std::int64_t number) {
  appendNumber(line, number);
}

void appendValue(std::string& line, double number) {
  line += nlohmann::json(number).dump();
}

void appendValue(std::string& line, bool flag) {
  line += flag ? "true" : "false";
}

}  // namespace

void appendJsonString(std::string& line, std::string_view text) {
  if (!std::all_of(text.begin(), text.end(), isUnescapedAscii)) {
    line += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return;
  }
  line += '"';
  line += text;
  line += '"';
}

JsonLogLine::JsonLogLine(const LogOrigin& origin) {
  program_ = R"(","program":)";
  appendJsonString(program_, origin.program);
  program_ += R"(,"component":)";
  node_and_zone_ = R"(,"node":)";
  appendJsonString(node_and_zone_, origin.node);
  node_and_zone_ += R"(,"zone":)";
  appendJsonString(node_and_zone_, origin.zone);
  node_and_zone_ += R"(,"event":)";
}

const std::string& JsonLogLine::build(SystemTime now, const LogEvent& event) {
  line_.clear();
  appendTime(now);
  line_ += levelName(event.level);
  line_ += program_;
  appendJsonString(line_, event.component);
  line_ += node_and_zone_;
  appendJsonString(line_, event.name);
  for (const LogField& field : event.fields) {
    appendField(field);
  }
  if (event.lines_dropped_before > 0) {
    appendField({"lines_left_out_before", event.lines_dropped_before});
  }
  line_ += "}\n";
  return line_;
}

void JsonLogLine::appendTime(SystemTime now) {
  const auto now_ms = static_cast<std::int64_t>(toUnixMilliseconds(now));
  const std::int64_t second = now_ms / kMillisecondsInSecond;
  if (second != second_) {
    second_ = second;
    timestamp_prefix_ = R"({"time":")" + formatSecond(second) + '.';
  }
  line_ += timestamp_prefix_;
  const std::int64_t fraction = now_ms % kMillisecondsInSecond;
  appendPadded(line_, fraction, 3);
  line_ += R"(Z","level":")";
}

void JsonLogLine::appendField(const LogField& field) {
  line_ += ',';
  appendJsonString(line_, field.name);
  line_ += ':';
  std::visit([this](const auto& value) { appendValue(line_, value); }, field.value);
}

}  // namespace lugfork
