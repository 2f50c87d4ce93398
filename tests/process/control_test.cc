#include <catch2/catch.hpp>

#include "process/fleet.h"

/** Output and exit codes of the operators' client lugforkctl against a fleet. */
namespace lugfork::test {
namespace {

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("drain publishes the next version and waits for every listed node") {
  Fleet fleet;
  const std::string platform = fleet.ports().text(Fleet::kPlatform);
  const std::vector<std::string> drain = {"drain",  "ingest-1",     "--platform",
                                          platform, "--api-token",  fleet.kToken,
                                          "--wait", "--wait-limit", "60000"};
  REQUIRE(fleet.control(drain) == 0);
  CHECK(contains(fleet.controlOutput(), "~ backends/ingest-1  draining: false -> true"));
  CHECK(contains(fleet.controlOutput(), "version 2 is in force on 3 of 3 nodes"));
  for (int index = 0; index < Fleet::kBalancers; ++index) {
    CHECK(fleet.versionInForce(index) == 2);
  }
  CHECK(fleet.control(drain) == 0);
  CHECK(contains(fleet.controlOutput(), "already so in version 2"));
  CHECK(fleet.control({"drain", "nobody", "--platform", platform}) == 1);
}

TEST_CASE("apply prints the difference, refuses a stale version and lists nodes that are behind") {
  Fleet fleet;
  const std::string platform = fleet.ports().text(Fleet::kPlatform);
  const std::string node = fleet.ports().text(Fleet::kApi);
  fleet.document()["backends"].erase(4);
  const std::string stale = fleet.writeDocument("stale.json", 1);
  const std::string next = fleet.writeDocument("document.json", 2);

  CHECK(fleet.control({"apply", "-f", next, "--platform", platform, "--dry-run"}) == 0);
  CHECK(contains(fleet.controlOutput(), "- backends/ingest-2"));
  CHECK(fleet.versionInForce(0) == 1);
  CHECK(fleet.control({"apply", "-f", stale, "--platform", platform}) == 1);
  CHECK(contains(fleet.controlErrors(), "the platform holds version 1"));
  CHECK(fleet.control({"apply", "-f", next, "--platform", platform, "--wait", "--node", node,
                       "--api-token", fleet.kToken}) == 0);
  CHECK(contains(fleet.controlOutput(), "in force at " + node));

  fleet.balancer(0).signal(SIGKILL);
  fleet.balancer(0).wait();
  const std::string third = fleet.writeDocument("document.json", 3);
  CHECK(fleet.control({"apply", "-f", third, "--platform", platform, "--wait", "--wait-limit",
                       "3000", "--node", node, "--api-token", fleet.kToken}) == 1);
  CHECK(contains(fleet.controlErrors(), "behind: " + node));
}

TEST_CASE("reads print tables or JSON, and invalid usage exits with code 2") {
  Fleet fleet;
  const std::string node = fleet.ports().text(Fleet::kApi);
  struct Row {
    std::vector<std::string> arguments;
    int exit_code;
    const char* output_part;
  };
  const Row rows[] = {
      {{"get", "nodes", "--node", node, "--api-token", fleet.kToken}, 0, "lac-balancer"},
      {{"get", "backends", "ingest-1", "--node", node, "--api-token", fleet.kToken},
       0,
       "TakesNewFlows=true(placeable)"},
      {{"get", "zones", "--node", node, "--api-token", fleet.kToken, "-o", "json"},
       0,
       "\"metadata\""},
      {{"watch", "--count", "1", "--node", node, "--api-token", fleet.kToken},
       0,
       "version_in_force"},
      {{"status", "--node", node}, 1, ""},
      {{"get", "backends", "nobody", "--node", node, "--api-token", fleet.kToken}, 1, ""},
      {{"get", "secrets", "--node", node}, 2, ""},
      {{"status"}, 2, ""},
      {{"apply", "-f", "missing.json", "--platform", node}, 2, ""},
      {{"generate-key", "peer"}, 0, "peer-secret-key = '"},
  };
  for (const Row& row : rows) {
    const int exit_code = fleet.control(row.arguments);
    INFO(row.arguments[0] << ": " << fleet.controlOutput() << fleet.controlErrors());
    CHECK(exit_code == row.exit_code);
    CHECK(contains(fleet.controlOutput(), row.output_part));
  }
}

}  // namespace
}  // namespace lugfork::test
