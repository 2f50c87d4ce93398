#include "config/configuration_document.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>

#include "config/configuration_store.h"

namespace lugfork {
namespace {

using nlohmann::json;

std::string readExample(const std::string& example) {
  std::ifstream file(std::string(LUGFORK_SOURCE_DIR) + "/examples/" + example +
                     "/configuration.json");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

json radio() {
  return json::parse(readExample("radio"));
}

TEST_CASE("example configurations are valid and unchanged after writing and parsing") {
  for (const std::string example : {"radio", "veroapu"}) {
    const auto parsed = parseConfigurationDocument(readExample(example));
    REQUIRE(parsed);
    CHECK(parsed.value().backends.size() == 19);
    CHECK(parsed.value().zones.size() == 3);
    const std::string written = writeConfigurationDocument(parsed.value(), SecretHandling::Include);
    CHECK(parseConfigurationDocument(written).value() == parsed.value());
  }
}

TEST_CASE("written document contains no secrets if they are omitted") {
  const auto parsed = parseConfigurationDocument(readExample("radio"));
  const std::string written = writeConfigurationDocument(parsed.value(), SecretHandling::Omit);
  CHECK(written.find("5ca1ab1e") == std::string::npos);
}

TEST_CASE("invalid document is rejected with the path of each problem") {
  struct Row {
    const char* name;
    std::function<void(json&)> corrupt;
    const char* path;
  };
  const Row rows[] = {
      {"no version", [](json& doc) { doc.erase("version"); }, ""},
      {"version 0", [](json& doc) { doc["version"] = 0; }, "/version"},
      {"unknown key", [](json& doc) { doc["extra"] = 1; }, ""},
      {"string for a number", [](json& doc) { doc["backends"][3]["slots"] = "two"; },
       "/backends/3/slots"},
      {"unknown zone in a service", [](json& doc) { doc["services"][0]["allowed_zones"] = {"x"}; },
       "/services/0/allowed_zones"},
      {"unknown service in a backend", [](json& doc) { doc["backends"][2]["service"] = "x"; },
       "/backends/2/service"},
      {"address without port", [](json& doc) { doc["backends"][1]["address"] = "127.0.0.1"; },
       "/backends/1/address"},
      {"port 0", [](json& doc) { doc["backends"][1]["address"] = "127.0.0.1:0"; },
       "/backends/1/address"},
      {"duplicate backend id", [](json& doc) { doc["backends"][1]["id"] = 1; }, "/backends/1/id"},
      {"duplicate service address",
       [](json& doc) { doc["services"][1]["address"] = doc["services"][0]["address"]; },
       "/services/1/address"},
      {"short secret", [](json& doc) { doc["keys"][0]["secret"] = "00"; }, "/keys/0/secret"},
      {"no sealing key", [](json& doc) { doc["keys"][0]["seals"] = false; }, "/keys"},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    json document = radio();
    row.corrupt(document);
    const auto parsed = parseConfigurationDocument(document.dump());
    REQUIRE_FALSE(parsed);
    const DocumentProblems& problems = parsed.error();
    CHECK(std::any_of(problems.begin(), problems.end(),
                      [&](const DocumentProblem& problem) { return problem.path == row.path; }));
  }
  CHECK_FALSE(parseConfigurationDocument("{"));
}

TEST_CASE("all problems of a document are reported together") {
  json document = radio();
  document["backends"][1]["zone"] = "x";
  document["backends"][2]["service"] = "y";
  document["keys"][0]["secret"] = "zz";
  CHECK(parseConfigurationDocument(document.dump()).error().size() == 3);
}

TEST_CASE("older and invalid documents leave the configuration in force unchanged") {
  ConfigurationStore store;
  json document = radio();
  document["version"] = 5;
  CHECK(store.offer(document.dump()) == OfferOutcome::Adopted);
  CHECK(store.offer(document.dump()) == OfferOutcome::AlreadyInForce);
  document["version"] = 4;
  CHECK(store.offer(document.dump()) == OfferOutcome::Older);
  CHECK(store.offer("{}") == OfferOutcome::Invalid);
  CHECK_FALSE(store.lastProblems().empty());
  CHECK(store.version() == ConfigVersion(5));
}

TEST_CASE("stores converge on one of two contents of the same version regardless of order") {
  json first = radio();
  json second = radio();
  second["backends"][0]["draining"] = true;
  ConfigurationStore one;
  ConfigurationStore other;
  one.offer(first.dump());
  one.offer(second.dump());
  other.offer(second.dump());
  other.offer(first.dump());
  CHECK(one.documentInForce() == other.documentInForce());
}

}  // namespace
}  // namespace lugfork
