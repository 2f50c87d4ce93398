#pragma once

#include <atomic>
#include <map>
#include <string>

#include "common/event_log.h"

namespace lugfork {

/** Who writes the log, and what is written. */
struct LogSettings {
  std::string program;
  std::string node;
  std::string zone;
  /** Lowest level written: debug, info, warn or error. */
  std::string level = "info";
  /** Levels for single components, by the component's name. */
  std::map<std::string, std::string> component_levels;
};

/** Sets the lowest level written by all components without a level of their own. */
void setLogLevel(const std::string& level);

/**
 * EventLog that writes one JSON object a line to standard output through log4cxx. Never
 * waits for a reader: a line that the output has no room for is left out.
 */
class JsonEventLog : public EventLog {
 public:
  explicit JsonEventLog(LogSettings settings);

  void write(LogLevel level, std::string_view component, std::string_view event,
             std::initializer_list<LogField> fields) override;

 private:
  const LogSettings settings_;
  std::atomic<std::uint64_t> left_out_ = 0;
};

}  // namespace lugfork
