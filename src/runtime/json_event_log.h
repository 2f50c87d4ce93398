#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "runtime/json_log_line.h"
#include "runtime/log_output.h"

namespace lugfork {

/** Settings of a JsonEventLog: origin of the lines and levels. */
struct LogSettings {
  std::string program;
  std::string node;
  std::string zone;
  /** Minimum level that is written: debug, info, warn or error. */
  std::string level = "info";
  /** Minimum levels of single components, by component name. */
  std::map<std::string, std::string> component_levels;
};

/** Sets the minimum level of all components without a level of their own. */
void setLogLevel(const std::string& level);

/**
 * EventLog that writes one JSON object per line to standard output: directly until
 * connectAppender(), through log4cxx afterwards. Never waits for a reader: a line is dropped
 * if the output can't take it at once. Thread-safe.
 */
class JsonEventLog : public EventLog {
 public:
  explicit JsonEventLog(const LogSettings& settings);

  /** Loads log4cxx's appender; on failure, logs the cause and continues to write directly. */
  void connectAppender();

  void write(LogLevel level, std::string_view component, std::string_view event,
             std::initializer_list<LogField> fields) override;

  bool wouldWrite(LogLevel level, std::string_view component, std::string_view event) override;

 private:
  bool isEnabled(LogLevel level, std::string_view component) const;

  std::map<std::string, LogLevel, std::less<>> component_levels_;
  std::mutex mutex_;
  JsonLogLine line_;
  std::unique_ptr<LogOutput> output_;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace lugfork
