#include "runtime/document_diff.h"

#include <catch2/catch.hpp>
#include <functional>

#include "config/configuration_document.h"
#include "runtime/node_fixture.h"

namespace lugfork {
namespace {

TEST_CASE("a document diff lists each changed resource and field without secrets") {
  struct Row {
    const char* name;
    std::function<void(nlohmann::json&)> change;
    const char* description;
  };
  const Row rows[] = {
      {"version only", [](auto& doc) { doc["version"] = 2; }, "no changes\n"},
      {"drain", [](auto& doc) { doc["backends"][15]["draining"] = true; },
       "~ backends/ingest-1  draining: false -> true\n"},
      {"removal", [](auto& doc) { doc["backends"].erase(18); }, "- backends/ingest-4\n"},
      {"rename", [](auto& doc) { doc["backends"][18]["name"] = "ingest-9"; },
       "- backends/ingest-4\n+ backends/ingest-9\n"},
      {"two fields",
       [](auto& doc) {
         doc["backends"][0]["slots"] = 4;
         doc["backends"][0]["connections"] = 10;
       },
       "~ backends/listen-api-1  connections: 2000 -> 10, slots: 2 -> 4\n"},
      {"secret", [](auto& doc) { doc["keys"][0]["secret"] = std::string(64, 'a'); },
       "~ keys/1  secret: changed\n"},
  };
  const auto before = parseConfigurationDocument(radioDocument().dump()).value();
  for (const Row& row : rows) {
    INFO(row.name);
    nlohmann::json document = radioDocument();
    row.change(document);
    const auto after = parseConfigurationDocument(document.dump()).value();
    CHECK(describeChanges(diffConfigurations(before, after)) == row.description);
  }
}

TEST_CASE("the built-in schema equals the committed schema file") {
  std::ifstream file(std::string(LUGFORK_SOURCE_DIR) + "/schema/configuration.schema.json");
  CHECK(nlohmann::json::parse(kConfigurationSchema) == nlohmann::json::parse(file));
}

}  // namespace
}  // namespace lugfork
