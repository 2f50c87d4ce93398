#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "common/event_log.h"
#include "common/time_source.h"

namespace lugfork {

/** What one line says of its event. */
struct LogEvent {
  LogLevel level = LogLevel::Info;
  std::string_view component;
  std::string_view name;
  std::initializer_list<LogField> fields;
  /** Lines that were left out just before this one. */
  std::uint64_t left_out_before = 0;
};

/** Who writes; the same in all lines. */
struct LogOrigin {
  std::string program;
  std::string node;
  std::string zone;
};

/**
 * Builds log lines as JSON objects. The text's memory, the constant fields and the timestamp's
 * second are kept from line to line: a line built as a JSON document, with its timestamp through a
 * stream, took 16 to 19 us of processor time until log4cxx had written it, one line of
 * this class 10 to 12 us (scripts/processor-budget.py).
 */
class JsonLogLine {
 public:
  explicit JsonLogLine(const LogOrigin& origin);

  /** @return the line with its line end; valid until the next call. */
  const std::string& build(SystemTime now, const LogEvent& event);

 private:
  void appendTime(SystemTime now);
  void appendField(const LogField& field);

  /** The constant fields around the component's, as they stand in the line. */
  std::string program_;
  std::string node_and_zone_;
  std::string line_;
  std::int64_t second_ = -1;
  /** The timestamp up to its second, with the field's name. */
  std::string second_text_;
};

/** Appends a text as a JSON string; bytes that are not UTF-8 become U+FFFD. */
void appendJsonString(std::string& line, std::string_view text);

}  // namespace lugfork
