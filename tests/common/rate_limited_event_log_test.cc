#include "common/rate_limited_event_log.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lugfork {
namespace {

class ManualTime : public TimeSource {
 public:
  MonotonicTime monotonicTime() const override { return now; }
  SystemTime systemTime() const override { return SystemTime(); }

  MonotonicTime now;
};

/** Records "component/event"; for log_lines_left_out also the event and the number of lines. */
class RecordedLog : public EventLog {
 public:
  void write(LogLevel, std::string_view component, std::string_view event,
             std::initializer_list<LogField> fields) override {
    std::string line = std::string(component) + "/" + std::string(event);
    if (event == "log_lines_left_out") {
      line += " " + std::get<std::string>(fields.begin()[0].value) + " " +
              std::to_string(std::get<std::int64_t>(fields.begin()[1].value));
    }
    lines.push_back(line);
  }

  bool wouldWrite(LogLevel, std::string_view, std::string_view) override { return !is_disabled; }

  std::vector<std::string> lines;
  bool is_disabled = false;
};

struct RateLimitedLogFixture {
  ManualTime time;
  RecordedLog recorded;
  RateLimitedEventLog log{recorded, LogLimits{10, 3}, time};

  void write(const std::string& component, const std::string& event, int line_count = 1) {
    for (int line = 0; line < line_count; ++line) {
      log.write(LogLevel::Info, component, event, {});
    }
  }
};

TEST_CASE("burst of one event does not suppress other events of its component", "[log]") {
  RateLimitedLogFixture fixture;
  fixture.write("flow", "flow_placed", 50);
  CHECK(fixture.recorded.lines == std::vector<std::string>(3, "flow/flow_placed"));
  CHECK(fixture.log.suppressed() == 47);
  fixture.recorded.lines.clear();
  fixture.write("flow", "flow_reset");
  fixture.write("node", "flow_placed");
  CHECK(fixture.recorded.lines == std::vector<std::string>{"flow/flow_reset", "node/flow_placed"});
}

TEST_CASE("number of suppressed lines is reported once, before the next line of the event",
          "[log]") {
  RateLimitedLogFixture fixture;
  fixture.write("flow", "flow_placed", 8);
  fixture.write("flow", "flow_reset", 4);
  fixture.recorded.lines.clear();
  fixture.time.now += seconds(1);
  fixture.write("flow", "flow_reset");
  fixture.write("flow", "flow_placed", 2);
  CHECK(fixture.recorded.lines == std::vector<std::string>{"flow/log_lines_left_out flow_reset 1",
                                                           "flow/flow_reset",
                                                           "flow/log_lines_left_out flow_placed 5",
                                                           "flow/flow_placed", "flow/flow_placed"});
}

TEST_CASE("event is limited to its rate, and after a quiet period to its burst", "[log]") {
  RateLimitedLogFixture fixture;
  fixture.write("flow", "flow_placed", 3);
  fixture.recorded.lines.clear();
  fixture.time.now += milliseconds(100);
  fixture.write("flow", "flow_placed", 2);
  CHECK(fixture.recorded.lines == std::vector<std::string>{"flow/flow_placed"});
  fixture.recorded.lines.clear();
  fixture.time.now += seconds(60);
  fixture.write("flow", "flow_placed", 10);
  CHECK(fixture.recorded.lines.size() == 1 + 3);
}

TEST_CASE("wouldWrite returns whether write would pass the event on", "[log]") {
  RateLimitedLogFixture fixture;
  const auto is_accepted = [&] {
    return fixture.log.wouldWrite(LogLevel::Info, "flow", "flow_placed");
  };
  for (int line = 0; line < 3; ++line) {
    CHECK(is_accepted());
    CHECK(is_accepted());
    fixture.write("flow", "flow_placed");
  }
  CHECK(fixture.recorded.lines.size() == 3);
  CHECK_FALSE(is_accepted());
  CHECK_FALSE(is_accepted());
  CHECK(fixture.log.suppressed() == 2);
  SECTION("event that wouldWrite rejected counts as suppressed") {
    fixture.time.now += seconds(1);
    CHECK(is_accepted());
    fixture.write("flow", "flow_placed");
    CHECK(fixture.recorded.lines[3] == "flow/log_lines_left_out flow_placed 2");
  }
  SECTION("lower rate applies from its change on") {
    fixture.log.setLinesPerSecond(1);
    fixture.time.now += milliseconds(500);
    CHECK_FALSE(is_accepted());
    fixture.time.now += milliseconds(500);
    CHECK(is_accepted());
  }
  SECTION("event that the next log would discard is rejected") {
    fixture.recorded.is_disabled = true;
    fixture.time.now += seconds(1);
    CHECK_FALSE(is_accepted());
    CHECK(fixture.log.suppressed() == 2);
  }
}

}  // namespace
}  // namespace lugfork
