#include <unistd.h>

#include <fstream>

#include "sim/sim_test_support.h"

namespace lugfork {

namespace {

/** Writes a file in the working directory and returns its name. */
std::string writeFile(const std::string& text) {
  // Test cases run concurrently in separate processes.
  std::string path = "scenario_test_input_" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << text;
  return path;
}

struct BadFile {
  const char* text;
  const char* named_key;
  const char* named_problem;
};

}  // namespace

TEST_CASE("invalid fault table is rejected with the file, the key and the valid values") {
  const Scenario scenario = test::loadScenario("radio");
  const BadFile cases[] = {
      {"[[faults]]\nkind = \"explode\"\n", "faults[0].kind", "must be one of kill, pause"},
      {"[[faults]]\nkind = \"kill\"\ntarget = \"nobody\"\n", "faults[0].target",
       "must be one of charguia-balancer-1"},
      {"[[faults]]\nkind = \"publish\"\nat_ms = -1\n", "faults[0].at_ms", "from 0 to 600000"},
      {"[[faults]]\nkind = \"publish\"\nwhen = 1\n", "faults[0].when", "allowed are at_ms"},
      {"[[faults]]\nkind = \n", ":2:", "value"},
  };
  for (const BadFile& bad : cases) {
    const std::string path = writeFile(bad.text);
    const auto table = readFaultTable(path, scenario);
    REQUIRE_FALSE(table);
    CHECK_THAT(table.error().message, Catch::Contains(path));
    CHECK_THAT(table.error().message, Catch::Contains(bad.named_key));
    CHECK_THAT(table.error().message, Catch::Contains(bad.named_problem));
  }
}

TEST_CASE("invalid scenario is rejected with the file and the key") {
  const auto missing = readScenario(writeFile("name = \"x\"\nconfiguration = \"absent.json\"\n"));
  REQUIRE_FALSE(missing);
  CHECK_THAT(missing.error().message, Catch::Contains("configuration names a file"));
  const auto no_name = readScenario(writeFile("balancers_per_zone = 2\n"));
  REQUIRE_FALSE(no_name);
  CHECK_THAT(no_name.error().message, Catch::Contains("name must be a string"));
}

}  // namespace lugfork
