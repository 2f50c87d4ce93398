#include "runtime/simulation_page.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

constexpr const char* kResult =
    R"({"flows":344,"broken_planned":3,"broken_unplanned":2,"imbalance_p50":1.5,"imbalance_p99":3})";

TEST_CASE("the page contains all labels and counts, with HTML escaped") {
  const auto token = parseSimulationResult("token <b>", kResult);
  const auto table = parseSimulationResult("maglev-table", kResult);
  REQUIRE(token);
  const std::string page = renderSimulationPage({token.value(), table.value()});
  for (const char* part : {"token &lt;b&gt;", "maglev-table", "<svg", "344", "imbalance_p99"}) {
    INFO(part);
    CHECK(page.find(part) != std::string::npos);
  }
  CHECK(page.find("<b>") == std::string::npos);
}

TEST_CASE("the error for an incomplete result contains the missing field") {
  struct Row {
    const char* text;
    const char* error_part;
  };
  const Row rows[] = {{"", "JSON object"},
                      {"[]", "JSON object"},
                      {"{}", "broken_planned"},
                      {R"({"broken_planned":"3"})", "broken_planned"},
                      {R"({"broken_planned":3,"broken_unplanned":1})", "imbalance_p50"}};
  for (const Row& row : rows) {
    const auto parsed = parseSimulationResult("x", row.text);
    INFO(row.text);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().find(row.error_part) != std::string::npos);
  }
}

}  // namespace
}  // namespace lugfork
