#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

/** Parses the log lines of balancers, to reconstruct the course of a flow. */
namespace lugfork {

/** One log line of a balancer. */
struct LogLine {
  /** Time by the clock of the node that wrote the line [ms since 1970]. */
  std::int64_t time_ms = 0;
  std::string node;
  std::string event;
  /** Fields of the event without those common to all lines, in the order of the line. */
  nlohmann::ordered_json fields;

  /** @return the field as text, empty if it is missing. */
  std::string text(const char* field) const;
  /** @return the field as a number, nothing if it is missing or no unsigned integer. */
  std::optional<std::uint64_t> number(const char* field) const;
};

/**
 * Parses one line of text. Text before the first brace is ignored, since log collectors prefix
 * lines with a time or a name.
 * @return nothing if the text is not a log line of a balancer.
 */
std::optional<LogLine> parseLogLine(const std::string& text);

/** @return the UTC time of day in RFC 3339 format, "hh:mm:ss.sss". */
std::string formatTimeOfDay(std::int64_t time_ms);

}  // namespace lugfork
