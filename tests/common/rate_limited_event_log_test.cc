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

/** Keeps "component/event", and for lines of counts what they count. */
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

  bool wouldWrite(LogLevel, std::string_view, std::string_view) override { return !drops; }

  std::vector<std::string> lines;
  bool drops = false;
};

struct BoundedLogFixture {
  ManualTime time;
  RecordedLog recorded;
  RateLimitedEventLog log{recorded, LogLimits{10, 3}, time};

  void write(const std::string& component, const std::string& event, int times = 1) {
    for (int count = 0; count < times; ++count) {
      log.write(LogLevel::Info, component, event, {});
    }
  }
};

TEST_CASE("a storm of one event hides no other event of its component", "[log]") {
  BoundedLogFixture fixture;
  fixture.write("flow", "flow_placed", 50);
  CHECK(fixture.recorded.lines == std::vector<std::string>(3, "flow/flow_placed"));
  CHECK(fixture.log.suppressed() == 47);
  fixture.recorded.lines.clear();
  fixture.write("flow", "flow_reset");
  fixture.write("node", "flow_placed");
  CHECK(fixture.recorded.lines == std::vector<std::string>{"flow/flow_reset", "node/flow_placed"});
}

TEST_CASE("the next line of an event says how many of it were left out, once", "[log]") {
  BoundedLogFixture fixture;
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

TEST_CASE("an event gets its rate, and after quiet its burst and no more", "[log]") {
  BoundedLogFixture fixture;
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

TEST_CASE("who asks before a line is made hears what write would do", "[log]") {
  BoundedLogFixture fixture;
  const auto asks = [&] { return fixture.log.wouldWrite(LogLevel::Info, "flow", "flow_placed"); };
  for (int line = 0; line < 3; ++line) {
    CHECK(asks());
    CHECK(asks());
    fixture.write("flow", "flow_placed");
  }
  CHECK(fixture.recorded.lines.size() == 3);
  CHECK_FALSE(asks());
  CHECK_FALSE(asks());
  CHECK(fixture.log.suppressed() == 2);
  SECTION("what was not made counts as left out") {
    fixture.time.now += seconds(1);
    CHECK(asks());
    fixture.write("flow", "flow_placed");
    CHECK(fixture.recorded.lines[3] == "flow/log_lines_left_out flow_placed 2");
  }
  SECTION("a lower rate holds from then on") {
    fixture.log.setLinesPerSecond(1);
    fixture.time.now += milliseconds(500);
    CHECK_FALSE(asks());
    fixture.time.now += milliseconds(500);
    CHECK(asks());
  }
  SECTION("what the next log would drop is not made either") {
    fixture.recorded.drops = true;
    fixture.time.now += seconds(1);
    CHECK_FALSE(asks());
    CHECK(fixture.log.suppressed() == 2);
  }
}

}  // namespace
}  // namespace lugfork
