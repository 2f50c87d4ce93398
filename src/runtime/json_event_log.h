#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "runtime/json_log_line.h"
#include "runtime/log_output.h"

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
 * EventLog that writes one JSON object a line to standard output, by itself until connectAppender()
 * and through log4cxx from then on. Never waits for a reader: a line that the output has no room
 * for is left out. Safe to use from several threads.
 */
class JsonEventLog : public EventLog {
 public:
  explicit JsonEventLog(const LogSettings& settings);

  /** Loads log4cxx's appender; where that fails, logs the cause and goes on writing directly. */
  void connectAppender();

  void write(LogLevel level, std::string_view component, std::string_view event,
             std::initializer_list<LogField> fields) override;

  bool wouldWrite(LogLevel level, std::string_view component, std::string_view event) override;

 private:
  bool isWritten(LogLevel level, std::string_view component) const;

  std::map<std::string, LogLevel, std::less<>> component_levels_;
  std::mutex mutex_;
  JsonLogLine line_;
  std::unique_ptr<LogOutput> output_;
  std::uint64_t left_out_ = 0;
};

}  // namespace lugfork
