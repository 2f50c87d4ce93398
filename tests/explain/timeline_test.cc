#include "explain/timeline.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const std::string kFlow = "100.64.0.7:1050>198.18.0.1:443";

/** @return a line as a balancer writes it; `fields` begins with a comma or is empty. */
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

std::vector<std::string> eventsOf(const Timeline& story) {
  std::vector<std::string> events;
  for (const TimelineEntry& line : story.lines) {
    events.push_back(line.line.node + " " + line.line.event);
  }
  return events;
}

std::string backendState(const std::string& time, const std::string& node, const std::string& state,
                         int revision) {
  return lineText(time, node, "backend_state",
                  R"(,"backend":"i-1","backend_id":9,"state":")" + state + R"(","revision":)" +
                      std::to_string(revision));
}

std::string placed(const std::string& time, const std::string& node) {
  return lineText(time, node, "flow_placed",
                  R"(,"flow":")" + kFlow + R"(","backend":"i-1","backend_id":9)");
}

TEST_CASE("a back end's story names the lists that hold it, of a view and of many changes",
          "[explain]") {
  const std::string listed = R"(,"backends":"i-1=ready i-2=draining","revision":7)";
  const std::string others = R"(,"backends":"i-11=ready","revision":8)";
  const auto lines = parse({lineText("01.000", "n1", "backend_snapshot", listed),
                            lineText("02.000", "n2", "backend_states", listed),
                            lineText("03.000", "n2", "backend_states", others)});
  CHECK(eventsOf(buildTimeline(lines, {"", "i-1", 0})) ==
        std::vector<std::string>{"n1 backend_snapshot", "n2 backend_states"});
}

TEST_CASE("a line is read back, also behind what a collector put before it", "[explain]") {
  const auto line = parseLogLine("  12.34 n1 " + placed("05.678", "n1"));
  REQUIRE(line.has_value());
  CHECK(line->node == "n1");
  CHECK(line->event == "flow_placed");
  CHECK(line->number("backend_id") == 9U);
  CHECK(line->text("flow") == kFlow);
  CHECK(formatTimeOfDay(line->time_ms) == "03:04:05.678");
  CHECK_FALSE(line->fields.contains("zone"));
}

TEST_CASE("what is no line of a balancer is passed over", "[explain]") {
  const std::string text =
      GENERATE(as<std::string>(), "", "plain words", "{", R"({"time":1,"event":"x"})",
               R"({"time":"yesterday","event":"x"})", R"({"event":"x"})", "[1]");
  CHECK_FALSE(parseLogLine(text).has_value());
}

TEST_CASE("the story of a flow holds its own lines, its back end's and its nodes'", "[explain]") {
  const auto lines = parse({
      backendState("01.000", "n1", "ready", 5),
      backendState("01.200", "n2", "ready", 5),
      placed("02.000", "n1"),
      lineText("02.100", "n1", "flow_placed",
               R"(,"flow":"100.64.0.8:1>198.18.0.1:443","backend_id":9)"),
      lineText("02.300", "n2", "backend_suspected", R"(,"backend_id":9)"),
      lineText("02.400", "n3", "backend_suspected", R"(,"backend_id":8)"),
      lineText("02.500", "n1", "leaving", ""),
      lineText("02.600", "n3", "leaving", ""),
      lineText("03.000", "n2", "flow_reset",
               R"(,"flow":")" + kFlow + R"(","reason":"backend_gone","backend_id":9)"),
      backendState("30.000", "n1", "retired", 7),
  });
  const std::vector<std::string> expected = {"n1 backend_state", "n1 flow_placed",
                                             "n2 backend_suspected", "n1 leaving", "n2 flow_reset"};
  CHECK(eventsOf(buildTimeline(lines, {"100.64.0.7:1050", "", 10000})) == expected);
  CHECK(eventsOf(buildTimeline(lines, {kFlow, "", 10000})) == expected);
  CHECK(buildTimeline(lines, {"100.64.0.7:105", "", 10000}).lines.empty());
}

TEST_CASE("the same news of many nodes counts once", "[explain]") {
  const auto lines = parse({backendState("01.000", "n1", "draining", 5),
                            backendState("01.200", "n2", "draining", 5),
                            backendState("01.400", "n3", "draining", 5)});
  const Timeline story = buildTimeline(lines, {"", "i-1", 0});
  REQUIRE(story.lines.size() == 1);
  CHECK(story.lines[0].other_nodes == std::set<std::string>{"n2", "n3"});
  CHECK(story.lines[0].last_time_ms - story.lines[0].time_ms == 400);
}

TEST_CASE("a story says that lines of its nodes were left out", "[explain]") {
  const auto lines = parse(
      {placed("02.000", "n1"),
       lineText("02.400", "n1", "log_lines_left_out", R"(,"of_event":"flow_reset","lines":17)"),
       lineText("02.500", "n2", "log_lines_left_out", R"(,"of_event":"flow_reset","lines":3)")});
  CHECK(eventsOf(buildTimeline(lines, {kFlow, "", 10000})) ==
        std::vector<std::string>{"n1 flow_placed", "n1 log_lines_left_out"});
}

TEST_CASE("a back end is found by its id as well", "[explain]") {
  const auto lines = parse({backendState("01.000", "n1", "ready", 5),
                            lineText("02.300", "n2", "backend_suspected", R"(,"backend_id":9)")});
  CHECK(buildTimeline(lines, {"", "9", 0}).lines.size() == 2);
  CHECK(buildTimeline(lines, {"", "i-1", 0}).lines.size() == 2);
}

TEST_CASE("the evidence behind a reset and a server that was passed over is told", "[explain]") {
  const auto lines = parse({
      placed("02.000", "n1"),
      lineText("02.300", "n1", "backend_suspected_by_others", R"(,"backend_id":9,"reporters":3)"),
      lineText("02.350", "n1", "backend_suspected_by_others", R"(,"backend_id":8,"reporters":2)"),
      lineText("02.400", "n1", "zones_out_of_reach", R"(,"zones":"manta")"),
      lineText("02.400", "n4", "zones_out_of_reach", R"(,"zones":"manta")"),
      lineText("02.600", "n1", "backend_dead_by_others",
               R"(,"flow":")" + kFlow + R"(","backend_id":9,"reporters":3,"silent_flows":5)"),
      lineText("02.600", "n1", "flow_reset",
               R"(,"flow":")" + kFlow + R"(","reason":"backend_gone","backend_id":9)"),
  });
  const Timeline story = buildTimeline(lines, {kFlow, "", 10000});
  CHECK(eventsOf(story) == std::vector<std::string>{"n1 flow_placed",
                                                    "n1 backend_suspected_by_others",
                                                    "n1 zones_out_of_reach",
                                                    "n1 backend_dead_by_others", "n1 flow_reset"});
  CHECK(story.lines[1].line.number("reporters") == 3U);
}

TEST_CASE("a clock that is off does not turn the order of events round", "[explain]") {
  std::vector<std::string> texts;
  for (int revision = 1; revision <= 3; ++revision) {
    const std::string seconds = "0" + std::to_string(revision);
    texts.push_back(backendState(seconds + ".000", "n1", "ready", revision));
    texts.push_back(backendState(seconds + ".100", "n2", "ready", revision));
    // The clock of n3 is 20 s ahead; news takes 0.1 s to most nodes.
    texts.push_back(backendState("2" + std::to_string(revision) + ".000", "n3", "ready", revision));
  }
  texts.push_back(lineText("25.000", "n3", "flow_reset", R"(,"flow":")" + kFlow + "\""));
  texts.push_back(placed("04.000", "n1"));
  const Timeline story = buildTimeline(parse(texts), {kFlow, "", 1000});
  CHECK(story.skewed_clocks == std::map<std::string, std::int64_t>{{"n3", 19900}});
  REQUIRE(story.lines.size() >= 2);
  CHECK(story.lines.back().line.event == "flow_reset");
  CHECK(formatTimeOfDay(story.lines.back().time_ms) == "03:04:05.100");
}

}  // namespace
}  // namespace lugfork
