#include "explain/timeline.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const std::string kFlow = "100.64.0.7:1050>198.18.0.1:443";

/** @return a log line in a balancer's format; `fields` begins with a comma or is empty. */
std::string lineText(const std::string& time, const std::string& node, const std::string& event,
                     const std::string& fields) {
  return R"({"time":"2026-01-02T03:04:)" + time +
         R"(Z","level":"info","program":"lugfork-packetd","component":"flow","node":")" + node +
         R"(","zone":"z","event":")" + event + "\"" + fields + "}";
}

std::vector<LogLine> parse(const std::vector<std::string>& texts) {
  std::vector<LogLine> lines;
  for (const std::string& text : texts) {
    if (auto line = parseLogLine(text)) {
      lines.push_back(std::move(*line));
    }
  }
  return lines;
}

std::vector<std::string> eventsOf(const Timeline& timeline) {
  std::vector<std::string> events;
  for (const TimelineEntry& line : timeline.lines) {
    events.push_back(line.line.node + " " + line.line.event);
  }
  return events;
}

std::string backendStateLine(const std::string& time, const std::string& node,
                             const std::string& state, int revision) {
  return lineText(time, node, "backend_state",
                  R"(,"backend":"i-1","backend_id":9,"state":")" + state + R"(","revision":)" +
                      std::to_string(revision));
}

std::string placedLine(const std::string& time, const std::string& node) {
  return lineText(time, node, "flow_placed",
                  R"(,"flow":")" + kFlow + R"(","backend":"i-1","backend_id":9)");
}

TEST_CASE("timeline of a backend includes snapshot and multi-change lines that list it",
          "[explain]") {
  const std::string listed = R"(,"backends":"i-1=ready i-2=draining","revision":7)";
  const std::string others = R"(,"backends":"i-11=ready","revision":8)";
  const auto lines = parse({lineText("01.000", "n1", "backend_snapshot", listed),
                            lineText("02.000", "n2", "backend_states", listed),
                            lineText("03.000", "n2", "backend_states", others)});
  CHECK(eventsOf(buildTimeline(lines, {"", "i-1", 0})) ==
        std::vector<std::string>{"n1 backend_snapshot", "n2 backend_states"});
}

TEST_CASE("log line is parsed, also with a prefix added by a log collector", "[explain]") {
  const auto line = parseLogLine("  12.34 n1 " + placedLine("05.678", "n1"));
  REQUIRE(line.has_value());
  CHECK(line->node == "n1");
  CHECK(line->event == "flow_placed");
  CHECK(line->number("backend_id") == 9U);
  CHECK(line->text("flow") == kFlow);
  CHECK(formatTimeOfDay(line->time_ms) == "03:04:05.678");
  CHECK_FALSE(line->fields.contains("zone"));
}

TEST_CASE("text that is not a balancer's log line is ignored", "[explain]") {
  const std::string text =
      GENERATE(as<std::string>(), "", "plain words", "{", R"({"time":1,"event":"x"})",
               R"({"time":"yesterday","event":"x"})", R"({"event":"x"})", "[1]");
  CHECK_FALSE(parseLogLine(text).has_value());
}

TEST_CASE("timeline of a flow includes lines of the flow, its backend and its nodes", "[explain]") {
  const auto lines = parse({
      backendStateLine("01.000", "n1", "ready", 5),
      backendStateLine("01.200", "n2", "ready", 5),
      placedLine("02.000", "n1"),
      lineText("02.100", "n1", "flow_placed",
               R"(,"flow":"100.64.0.8:1>198.18.0.1:443","backend_id":9)"),
      lineText("02.300", "n2", "backend_suspected", R"(,"backend_id":9)"),
      lineText("02.400", "n3", "backend_suspected", R"(,"backend_id":8)"),
      lineText("02.500", "n1", "leaving", ""),
      lineText("02.600", "n3", "leaving", ""),
      lineText("03.000", "n2", "flow_reset",
               R"(,"flow":")" + kFlow + R"(","reason":"backend_gone","backend_id":9)"),
      backendStateLine("30.000", "n1", "retired", 7),
  });
  const std::vector<std::string> expected = {"n1 backend_state", "n1 flow_placed",
                                             "n2 backend_suspected", "n1 leaving", "n2 flow_reset"};
  CHECK(eventsOf(buildTimeline(lines, {"100.64.0.7:1050", "", 10000})) == expected);
  CHECK(eventsOf(buildTimeline(lines, {kFlow, "", 10000})) == expected);
  CHECK(buildTimeline(lines, {"100.64.0.7:105", "", 10000}).lines.empty());
}

TEST_CASE("same state change reported by several nodes forms one entry", "[explain]") {
  const auto lines = parse({backendStateLine("01.000", "n1", "draining", 5),
                            backendStateLine("01.200", "n2", "draining", 5),
                            backendStateLine("01.400", "n3", "draining", 5)});
  const Timeline timeline = buildTimeline(lines, {"", "i-1", 0});
  REQUIRE(timeline.lines.size() == 1);
  CHECK(timeline.lines[0].other_nodes == std::set<std::string>{"n2", "n3"});
  CHECK(timeline.lines[0].last_time_ms - timeline.lines[0].time_ms == 400);
}

TEST_CASE("timeline includes reports of suppressed lines of the flow's nodes", "[explain]") {
  const auto lines = parse(
      {placedLine("02.000", "n1"),
       lineText("02.400", "n1", "log_lines_left_out", R"(,"of_event":"flow_reset","lines":17)"),
       lineText("02.500", "n2", "log_lines_left_out", R"(,"of_event":"flow_reset","lines":3)")});
  CHECK(eventsOf(buildTimeline(lines, {kFlow, "", 10000})) ==
        std::vector<std::string>{"n1 flow_placed", "n1 log_lines_left_out"});
}

TEST_CASE("backend is found by name or by id", "[explain]") {
  const auto lines = parse({backendStateLine("01.000", "n1", "ready", 5),
                            lineText("02.300", "n2", "backend_suspected", R"(,"backend_id":9)")});
  CHECK(buildTimeline(lines, {"", "9", 0}).lines.size() == 2);
  CHECK(buildTimeline(lines, {"", "i-1", 0}).lines.size() == 2);
}

TEST_CASE("timeline of a reset flow includes the evidence of peers and unreachable zones",
          "[explain]") {
  const auto lines = parse({
      placedLine("02.000", "n1"),
      lineText("02.300", "n1", "backend_suspected_by_others", R"(,"backend_id":9,"reporters":3)"),
      lineText("02.350", "n1", "backend_suspected_by_others", R"(,"backend_id":8,"reporters":2)"),
      lineText("02.400", "n1", "zones_out_of_reach", R"(,"zones":"manta")"),
      lineText("02.400", "n4", "zones_out_of_reach", R"(,"zones":"manta")"),
      lineText("02.600", "n1", "backend_dead_by_others",
               R"(,"flow":")" + kFlow + R"(","backend_id":9,"reporters":3,"silent_flows":5)"),
      lineText("02.600", "n1", "flow_reset",
               R"(,"flow":")" + kFlow + R"(","reason":"backend_gone","backend_id":9)"),
  });
  const Timeline timeline = buildTimeline(lines, {kFlow, "", 10000});
  CHECK(eventsOf(timeline) ==
        std::vector<std::string>{"n1 flow_placed", "n1 backend_suspected_by_others",
                                 "n1 zones_out_of_reach", "n1 backend_dead_by_others",
                                 "n1 flow_reset"});
  CHECK(timeline.lines[1].line.number("reporters") == 3U);
}

TEST_CASE("clock skew of a node does not reverse the order of events", "[explain]") {
  std::vector<std::string> texts;
  for (int revision = 1; revision <= 3; ++revision) {
    const std::string seconds = "0" + std::to_string(revision);
    texts.push_back(backendStateLine(seconds + ".000", "n1", "ready", revision));
    texts.push_back(backendStateLine(seconds + ".100", "n2", "ready", revision));
    // The clock of n3 is 20 s ahead; changes reach the other nodes within 0.1 s.
    texts.push_back(
        backendStateLine("2" + std::to_string(revision) + ".000", "n3", "ready", revision));
  }
  texts.push_back(lineText("25.000", "n3", "flow_reset", R"(,"flow":")" + kFlow + "\""));
  texts.push_back(placedLine("04.000", "n1"));
  const Timeline timeline = buildTimeline(parse(texts), {kFlow, "", 1000});
  CHECK(timeline.skewed_clocks == std::map<std::string, std::int64_t>{{"n3", 19900}});
  REQUIRE(timeline.lines.size() >= 2);
  CHECK(timeline.lines.back().line.event == "flow_reset");
  CHECK(formatTimeOfDay(timeline.lines.back().time_ms) == "03:04:05.100");
}

}  // namespace
}  // namespace lugfork
