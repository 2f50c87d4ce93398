/** Module lugfork-log4cxx.so: writes formatted log lines to log4cxx's console appender. */

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <cstddef>
#include <memory>
#include <string>

namespace {

/** The layout adds nothing, as lines include their newline; levels are filtered by the program. */
log4cxx::LoggerPtr makeLogger() {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m");
  const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
  log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::getAll());
  return root;
}

}  // namespace

extern "C" __attribute__((visibility("default"))) void lugforkAppendLogLine(const char* line,
                                                                            std::size_t size) {
  static const log4cxx::LoggerPtr kLogger = makeLogger();
  kLogger->forcedLog(log4cxx::Level::getInfo(), std::string(line, size));
}
