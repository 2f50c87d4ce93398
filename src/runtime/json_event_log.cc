#include "runtime/json_event_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace lugfork {

namespace {

log4cxx::LevelPtr toLog4cxxLevel(LogLevel level) {
  switch (level) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

const char* levelName(LogLevel level) {
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

log4cxx::LoggerPtr componentLogger(std::string_view component) {
  return log4cxx::Logger::getLogger("lugfork." + std::string(component));
}

/** @return true if a line can be written without waiting: a pipe then takes PIPE_BUF bytes. */
bool outputHasRoom() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/** @return the wall-clock time in UTC as RFC 3339 writes it, to the millisecond. */
std::string timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  const std::time_t whole_seconds = std::chrono::system_clock::to_time_t(now);
  std::tm parts{};
  gmtime_r(&whole_seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
       << since_epoch % 1000 << 'Z';
  return text.str();
}

}  // namespace

void setLogLevel(const std::string& level) {
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

JsonEventLog::JsonEventLog(LogSettings settings) : settings_(std::move(settings)) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  setLogLevel(settings_.level);
  for (const auto& [component, level] : settings_.component_levels) {
    componentLogger(component)->setLevel(log4cxx::Level::toLevel(level));
  }
}

void JsonEventLog::write(LogLevel level, std::string_view component, std::string_view event,
                         std::initializer_list<LogField> fields) {
  const log4cxx::LoggerPtr logger = componentLogger(component);
  const log4cxx::LevelPtr log4cxx_level = toLog4cxxLevel(level);
  if (!logger->isEnabledFor(log4cxx_level)) {
    return;
  }
  if (!outputHasRoom()) {
    ++left_out_;
    return;
  }
  nlohmann::ordered_json line;
  line["time"] = timestamp();
  line["level"] = levelName(level);
  line["program"] = settings_.program;
  line["component"] = component;
  line["node"] = settings_.node;
  line["zone"] = settings_.zone;
  line["event"] = event;
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
  }
  if (left_out_ > 0) {
    line["lines_left_out_before"] = left_out_.exchange(0);
  }
  const auto replace = nlohmann::ordered_json::error_handler_t::replace;
  logger->forcedLog(log4cxx_level, line.dump(-1, ' ', false, replace));
}

}  // namespace lugfork
