#include <catch2/catch.hpp>

#include "process/fleet.h"

/** Runs every example of docs/API.md against a fleet. */
namespace lugfork::test {
namespace {

/** An example: the request, and the status and fields that the page documents. */
struct Example {
  HttpCall call;
  int status = 0;
  json body;
};

/** @return text of the next block that starts with the fence; moves position to the block's end. */
std::string readNextBlock(const std::string& page, const std::string& fence,
                          std::size_t& position) {
  const std::size_t begin = page.find(fence, position);
  if (begin == std::string::npos) {
    position = begin;
    return "";
  }
  const std::size_t text = begin + fence.size();
  const std::size_t end = page.find("```", text);
  position = end;
  return page.substr(text, end - text);
}

Example parseExample(const std::string& request, const std::string& answer) {
  Example example;
  std::istringstream request_lines(request);
  request_lines >> example.call.method >> example.call.target;
  example.call.body.assign(std::istreambuf_iterator<char>(request_lines), {});
  std::istringstream answer_lines(answer);
  std::string protocol;
  answer_lines >> protocol >> example.status;
  const std::string body{std::istreambuf_iterator<char>(answer_lines), {}};
  example.body = json::parse(body, nullptr, false);
  return example;
}

std::vector<Example> readExamples() {
  std::ifstream file(std::string(LUGFORK_SOURCE_DIR) + "/docs/API.md");
  const std::string page{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  std::vector<Example> examples;
  std::size_t position = 0;
  while (true) {
    const std::string request = readNextBlock(page, "```http\n", position);
    if (position == std::string::npos) {
      return examples;
    }
    examples.push_back(parseExample(request, readNextBlock(page, "```text\n", position)));
  }
}

/** Checks that all documented fields exist and have the documented type. */
void checkShape(const json& documented, const json& actual, const std::string& path) {
  INFO(path << ": " << actual.dump());
  if (documented.is_object()) {
    REQUIRE(actual.is_object());
    for (const auto& [name, value] : documented.items()) {
      INFO(name);
      REQUIRE(actual.contains(name));
      checkShape(value, actual[name], std::string(path).append("/").append(name));
    }
  } else if (documented.is_array()) {
    REQUIRE(actual.is_array());
    if (!documented.empty()) {
      REQUIRE_FALSE(actual.empty());
      checkShape(documented.front(), actual.front(), path + "/0");
    }
  } else {
    CHECK(std::string(documented.type_name()) == actual.type_name());
  }
}

TEST_CASE("every example of the API page gets the documented status and fields") {
  const std::vector<Example> examples = readExamples();
  REQUIRE(examples.size() >= 10);
  const Fleet fleet;
  for (const Example& example : examples) {
    HttpCall call = example.call;
    INFO(call.method << ' ' << call.target);
    call.server = fleet.ports().endpoint(Fleet::kApi);
    call.bearer_token = Fleet::kToken;
    const HttpReply reply = httpRequest(call).value();
    CHECK(reply.status == example.status);
    if (!example.body.is_discarded()) {
      checkShape(example.body, json::parse(reply.body), "");
    }
  }
}

TEST_CASE("node with an API token rejects requests without the token, except health checks") {
  const Fleet fleet;
  HttpCall call;
  call.server = fleet.ports().endpoint(Fleet::kApi);
  for (const char* target : {"/v1/status", "/v1/configuration", "/metrics"}) {
    INFO(target);
    call.target = target;
    CHECK(httpRequest(call).value().status == 401);
  }
  call.target = "/healthz";
  CHECK(httpRequest(call).value().status == 200);
}

}  // namespace
}  // namespace lugfork::test
