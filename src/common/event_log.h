#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace lugfork {

enum class LogLevel { Debug, Info, Warn, Error };

/** One typed field of a log event. The name needs to outlive only the call of EventLog::write. */
struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double, bool> value;

  LogField(std::string_view field_name, std::string text)
      : name(field_name), value(std::move(text)) {}
  LogField(std::string_view field_name, const char* text)
      : name(field_name), value(std::string(text)) {}
  LogField(std::string_view field_name, std::uint64_t number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
  LogField(std::string_view field_name, std::uint32_t number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
  LogField(std::string_view field_name, int number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
  LogField(std::string_view field_name, std::int64_t number) : name(field_name), value(number) {}
  LogField(std::string_view field_name, double number) : name(field_name), value(number) {}
  LogField(std::string_view field_name, bool flag) : name(field_name), value(flag) {}
};

/** Destination of structured log events. */
class EventLog {
 public:
  virtual ~EventLog() = default;

  /**
   * Writes one event.
   * @param component module that writes the event, for example "membership".
   * @param event name of the event in snake case, for example "member_suspected".
   */
  virtual void write(LogLevel level, std::string_view component, std::string_view event,
                     std::initializer_list<LogField> fields) = 0;

  /**
   * Checks whether an event would be written, before its fields are built; meant for frequent
   * events. An event for which this returns false counts as suppressed.
   * @return false if write() would discard the event.
   */
  virtual bool wouldWrite(LogLevel /*level*/, std::string_view /*component*/,
                          std::string_view /*event*/) {
    return true;
  }
};

/** EventLog that discards all events, for tests. */
class NullEventLog : public EventLog {
 public:
  void write(LogLevel, std::string_view, std::string_view,
             std::initializer_list<LogField>) override {}
};

}  // namespace lugfork
