#include "runtime/json_event_log.h"

#include <atomic>

#include "runtime/log_appender.h"
#include "runtime/standard_output.h"

namespace lugfork {

namespace {

/** Read by all threads that log; set when the settings are reloaded. */
std::atomic<LogLevel> min_level = LogLevel::Info;

/** @param name one of the level names that the settings accept. */
LogLevel levelOf(std::string_view name) {
  if (name == "error") {
    return LogLevel::Error;
  }
  if (name == "warn") {
    return LogLevel::Warn;
  }
  return name == "info" ? LogLevel::Info : LogLevel::Debug;
}

SystemTime systemNow() {
  return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

}  // namespace

void setLogLevel(const std::string& level) {
  min_level = levelOf(level);
}

JsonEventLog::JsonEventLog(const LogSettings& settings)
    : line_({settings.program, settings.node, settings.zone}),
      output_(std::make_unique<StandardOutput>()) {
  setLogLevel(settings.level);
  for (const auto& [component, level] : settings.component_levels) {
    component_levels_[component] = levelOf(level);
  }
}

void JsonEventLog::connectAppender() {
  auto appender = loadLogAppender();
  if (!appender) {
    write(LogLevel::Warn, "daemon", "log_appender_missing", {{"problem", appender.error()}});
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    output_ = std::move(appender.value());
  }
  write(LogLevel::Debug, "daemon", "log_appender_loaded", {});
}

bool JsonEventLog::isEnabled(LogLevel level, std::string_view component) const {
  const auto found = component_levels_.find(component);
  return level >= (found == component_levels_.end() ? min_level.load() : found->second);
}

bool JsonEventLog::wouldWrite(LogLevel level, std::string_view component,
                              std::string_view /*event*/) {
  return isEnabled(level, component);
}

void JsonEventLog::write(LogLevel level, std::string_view component, std::string_view event,
                         std::initializer_list<LogField> fields) {
  if (!isEnabled(level, component)) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (!standardOutputIsWritable()) {
    ++dropped_lines_;
    return;
  }
  const std::string& line =
      line_.build(systemNow(), {level, component, event, fields, dropped_lines_});
  dropped_lines_ = output_->write(line) ? 0 : dropped_lines_ + 1;
}

}  // namespace lugfork
