#include "runtime/http_server.h"

#include <catch2/catch.hpp>

#include "runtime/http_client.h"
#include "runtime/node_fixture.h"
#include "runtime/resource_api.h"

namespace lugfork {
namespace {

using nlohmann::json;

/** Serves the resource API of one node on a free loopback port. */
struct ApiFixture : NodeFixture {
  ResourceApi api{node};
  HttpServer server{Endpoint{0x7f000001, 0},
                    [this](const HttpRequest& request) { return api.handle(request); }};

  HttpReply ask(const std::string& method, const std::string& target,
                const std::string& body = "") const {
    HttpCall call;
    call.method = method;
    call.server = server.localAddress();
    call.target = target;
    call.body = body;
    call.timeout = seconds(10);
    return httpRequest(call).value();
  }
};

TEST_CASE("health and resources before and after the first configuration") {
  ApiFixture fixture;
  CHECK(fixture.ask("GET", "/healthz").status == 503);
  CHECK(fixture.ask("GET", "/v1/backends").status == 503);
  fixture.node.onPlatformConfiguration(radioDocument().dump());
  CHECK(fixture.ask("GET", "/v1/backends").status == 200);
}

TEST_CASE("each request to the API is answered with its status, errors as problem documents") {
  json invalid = radioDocument();
  invalid["backends"][1]["zone"] = "x";
  invalid["backends"][2]["service"] = "y";
  struct Row {
    const char* name;
    const char* method;
    const char* target;
    std::string body;
    int status;
  };
  const Row rows[] = {
      {"list", "GET", "/v1/services", "", 200},
      {"unknown resource", "GET", "/v1/nothing", "", 404},
      {"outside the API", "GET", "/", "", 404},
      {"path that climbs", "GET", "/v1/../../etc/passwd", "", 404},
      {"write to a resource", "PUT", "/v1/services", "{}", 405},
      {"delete of a resource", "DELETE", "/v1/services", "", 405},
      {"read of validate", "GET", "/v1/validate", "", 405},
      {"valid document", "POST", "/v1/validate", radioDocument().dump(), 200},
      {"invalid document", "POST", "/v1/validate", invalid.dump(), 422},
      {"not JSON", "POST", "/v1/validate", "{", 422},
      {"no body", "POST", "/v1/validate", "", 422},
  };
  ApiFixture fixture;
  fixture.node.onPlatformConfiguration(radioDocument().dump());
  for (const Row& row : rows) {
    const HttpReply reply = fixture.ask(row.method, row.target, row.body);
    INFO(row.name << ": " << reply.body);
    CHECK(reply.status == row.status);
    const json body = json::parse(reply.body, nullptr, false);
    REQUIRE(body.is_object());
    if (row.status >= 400) {
      CHECK(body["status"] == row.status);
      CHECK(body.contains("title"));
    }
  }
  const json problem = json::parse(fixture.ask("POST", "/v1/validate", invalid.dump()).body);
  REQUIRE(problem["errors"].size() == 2);
  CHECK(problem["errors"][0]["path"] == "/backends/1/zone");
  CHECK(problem["errors"][1]["path"] == "/backends/2/service");
}

TEST_CASE("no answer of the API holds a token secret") {
  ApiFixture fixture;
  fixture.node.onPlatformConfiguration(radioDocument().dump());
  for (const char* target : {"/v1/configuration", "/v1/status", "/v1/backends"}) {
    CHECK(fixture.ask("GET", target).body.find("5ca1ab1e") == std::string::npos);
  }
}

TEST_CASE("an address that is in use is refused with its name") {
  const auto handler = [](const HttpRequest&) { return HttpResponse(); };
  const HttpServer first({0x7f000001, 0}, handler);
  const Endpoint taken = first.localAddress();
  CHECK_THROWS_WITH(HttpServer(taken, handler), Catch::Contains(toString(taken)));
}

}  // namespace
}  // namespace lugfork
