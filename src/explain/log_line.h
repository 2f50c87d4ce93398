#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

/** Reads the log lines of balancers back, to explain afterwards what became of a flow. */
namespace lugfork {

/** One line that a balancer wrote. */
struct LogLine {
  /** By the clock of the node that wrote it [ms since 1970]. */
  std::int64_t time_ms = 0;
  std::string node;
  std::string event;
  /** What the event tells besides, in the order of the line. */
  nlohmann::ordered_json fields;

  /** @return the field as text, empty where there is none. */
  std::string text(const char* field) const;
  /** @return the field as a number, nothing where there is none. */
  std::optional<std::uint64_t> number(const char* field) const;
};

/**
 * Reads one line of text; what stands before the first brace is passed over, since collectors of
 * logs put a time or a name there.
 * @return nothing where the text is no line of a balancer.
 */
std::optional<LogLine> parseLogLine(const std::string& text);

/** @return the time as RFC 3339 writes it, without the date. */
std::string formatTimeOfDay(std::int64_t time_ms);

}  // namespace lugfork
