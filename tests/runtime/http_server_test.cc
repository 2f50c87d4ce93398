#include "runtime/http_server.h"

#include <catch2/catch.hpp>
#include <thread>

#include "runtime/http_client.h"
#include "runtime/node_fixture.h"
#include "runtime/resource_api.h"

namespace lugfork {
namespace {

using nlohmann::json;

/** Serves the resource API of one node on a free loopback port. */
struct ApiFixture : NodeFixture {
  PeerStatusTable peers{clock};
  ResourceApi api{node, peers, clock};
  HttpServer server{Endpoint{0x7f000001, 0},
                    [this](const HttpRequest& request) { return api.handle(request); }};

  HttpReply sendRequest(const std::string& method, const std::string& target,
                        const std::string& body = "",
                        const std::map<std::string, std::string>& headers = {}) const {
    HttpCall call;
    call.method = method;
    call.server = server.localAddress();
    call.target = target;
    call.body = body;
    call.headers = headers;
    call.timeout = seconds(10);
    return httpRequest(call).value();
  }
};

TEST_CASE("health check and resources return 503 until the first configuration is in force") {
  ApiFixture fixture;
  CHECK(fixture.sendRequest("GET", "/healthz").status == 503);
  CHECK(fixture.sendRequest("GET", "/v1/backends").status == 503);
  fixture.node.onPlatformConfiguration(radioDocument().dump());
  CHECK(fixture.sendRequest("GET", "/v1/backends").status == 200);
}

TEST_CASE("API requests return the expected status, and errors are problem documents") {
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
      {"one resource", "GET", "/v1/backends/ingest-1", "", 200},
      {"nodes", "GET", "/v1/nodes", "", 200},
      {"schema", "GET", "/v1/schema", "", 200},
      {"missing resource", "GET", "/v1/backends/nobody", "", 404},
      {"empty name", "GET", "/v1/backends/", "", 404},
      {"name that is not UTF-8", "GET", "/v1/backends/%ff", "", 404},
      {"deeply nested", "POST", "/v1/validate", std::string(100000, '['), 422},
      {"unknown resource", "GET", "/v1/nothing", "", 404},
      {"outside the API", "GET", "/", "", 404},
      {"path traversal", "GET", "/v1/../../etc/passwd", "", 404},
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
    const HttpReply reply = fixture.sendRequest(row.method, row.target, row.body);
    INFO(row.name << ": " << reply.body);
    CHECK(reply.status == row.status);
    const json body = json::parse(reply.body, nullptr, false);
    REQUIRE(body.is_object());
    if (row.status >= 400) {
      CHECK(body["status"] == row.status);
      CHECK(body.contains("title"));
    }
  }
  const json problem =
      json::parse(fixture.sendRequest("POST", "/v1/validate", invalid.dump()).body);
  REQUIRE(problem["errors"].size() == 2);
  CHECK(problem["errors"][0]["path"] == "/backends/1/zone");
  CHECK(problem["errors"][1]["path"] == "/backends/2/service");
}

TEST_CASE("a backend resource contains its declared spec, observed conditions and reasons") {
  ApiFixture fixture;
  json document = radioDocument();
  document["backends"][0]["draining"] = true;
  fixture.node.onPlatformConfiguration(document.dump());
  struct Row {
    const char* backend;
    bool takes_new_flows;
    const char* reason;
  };
  BackendReport away;
  away.backend = BackendId(2);
  fixture.node.onBackendReport(away);
  BackendReport ready;
  ready.backend = BackendId(3);
  ready.reachable = true;
  ready.uptime_ms = 3600000;
  ready.measured_at_ms = toUnixMilliseconds(fixture.clock.systemTime());
  fixture.node.onBackendReport(ready);
  const Row rows[] = {{"listen-api-1", false, "declared_draining"},
                      {"listen-api-2", false, "unreachable"},
                      {"listen-api-3", true, "placeable"}};
  for (const Row& row : rows) {
    const std::string target = std::string("/v1/backends/") + row.backend;
    const json item = json::parse(fixture.sendRequest("GET", target).body);
    INFO(item.dump());
    CHECK(item["metadata"]["name"] == row.backend);
    CHECK(item["spec"]["version"] == 1);
    CHECK(item["status"]["in_force"]["version"] == 1);
    const json& condition = item["status"]["conditions"][1];
    CHECK(condition["type"] == "TakesNewFlows");
    CHECK(condition["status"] == row.takes_new_flows);
    CHECK(condition["reason"] == row.reason);
    CHECK(condition["since_ms"].is_number_unsigned());
  }
}

TEST_CASE("a condition keeps its start time while it does not change") {
  ApiFixture fixture;
  fixture.node.onPlatformConfiguration(radioDocument().dump());
  const auto condition = [&] {
    const json item = json::parse(fixture.sendRequest("GET", "/v1/backends/ingest-1").body);
    return item["status"]["conditions"][0];
  };
  const json first = condition();
  std::this_thread::sleep_for(milliseconds(5));
  CHECK(condition() == first);
}

TEST_CASE("a matching entity tag returns 304 until the content changes") {
  ApiFixture fixture;
  json document = radioDocument();
  fixture.node.onPlatformConfiguration(document.dump());
  const HttpReply first = fixture.sendRequest("GET", "/v1/configuration");
  REQUIRE_FALSE(first.etag.empty());
  const HttpReply again =
      fixture.sendRequest("GET", "/v1/configuration", "", {{"If-None-Match", first.etag}});
  CHECK(again.status == 304);
  CHECK(again.body.empty());
  document["version"] = 2;
  fixture.node.onPlatformConfiguration(document.dump());
  CHECK(
      fixture.sendRequest("GET", "/v1/configuration", "", {{"If-None-Match", first.etag}}).status ==
      200);
}

TEST_CASE("invalid watch parameters are rejected") {
  struct Row {
    std::map<std::string, std::string> query;
    bool watches;
    bool valid;
  };
  const Row rows[] = {
      {{}, false, true},
      {{{"watch_from", "3"}}, true, true},
      {{{"watch_from", "3"}, {"timeout_ms", "60000"}}, true, true},
      {{{"watch_from", ""}}, false, false},
      {{{"watch_from", "-1"}}, false, false},
      {{{"watch_from", "3x"}}, false, false},
      {{{"watch_from", "3"}, {"timeout_ms", "60001"}}, false, false},
      {{{"watch_from", "3"}, {"timeout_ms", "soon"}}, false, false},
  };
  for (const Row& row : rows) {
    HttpRequest request;
    request.query = row.query;
    const WatchParameters parameters = parseWatch(request);
    INFO(parameters.problem);
    CHECK(parameters.watch.has_value() == row.watches);
    CHECK(parameters.problem.empty() == row.valid);
  }
}

TEST_CASE("requests without the bearer token get 401, except for unauthenticated paths") {
  struct Row {
    const char* name;
    const char* path;
    std::map<std::string, std::string> headers;
    int status;
  };
  const Row rows[] = {
      {"no token", "/v1/status", {}, 401},
      {"wrong token", "/v1/status", {{"Authorization", "Bearer wrong!"}}, 401},
      {"longer token", "/v1/status", {{"Authorization", "Bearer secret2"}}, 401},
      {"other scheme", "/v1/status", {{"Authorization", "Basic secret"}}, 401},
      {"right token", "/v1/status", {{"Authorization", "Bearer secret"}}, 200},
      {"open path", "/healthz", {}, 200},
      {"path below an open one", "/healthz/x", {}, 401},
  };
  HttpServerSecurity security;
  security.bearer_token = "secret";
  security.unauthenticated_paths = {"/healthz"};
  int handled = 0;
  const HttpServer server(
      {0x7f000001, 0},
      [&](const HttpRequest&) {
        ++handled;
        return HttpResponse();
      },
      security);
  int expected_handled = 0;
  for (const Row& row : rows) {
    INFO(row.name);
    HttpCall call;
    call.server = server.localAddress();
    call.target = row.path;
    call.headers = row.headers;
    CHECK(httpRequest(call).value().status == row.status);
    expected_handled += row.status == 200 ? 1 : 0;
  }
  CHECK(handled == expected_handled);
}

TEST_CASE("an exception in the handler returns 500, and later requests are served") {
  const HttpServer server({0x7f000001, 0}, [](const HttpRequest& request) -> HttpResponse {
    if (request.path == "/broken") {
      throw std::runtime_error("handler failed");
    }
    return HttpResponse();
  });
  HttpCall call;
  call.server = server.localAddress();
  for (const auto& [path, status] : {std::pair("/broken", 500), std::pair("/", 200)}) {
    call.target = path;
    CHECK(httpRequest(call).value().status == status);
  }
}

TEST_CASE("an HTTPS server without a readable certificate does not start") {
  HttpServerSecurity security;
  security.certificate_file = "missing.pem";
  CHECK_THROWS_AS(HttpServer(
                      {0x7f000001, 0}, [](const HttpRequest&) { return HttpResponse(); }, security),
                  std::runtime_error);
}

TEST_CASE("API responses contain no token secrets") {
  ApiFixture fixture;
  fixture.node.onPlatformConfiguration(radioDocument().dump());
  for (const char* target : {"/v1/configuration", "/v1/status", "/v1/backends", "/v1/nodes"}) {
    CHECK(fixture.sendRequest("GET", target).body.find("5ca1ab1e") == std::string::npos);
  }
}

TEST_CASE("the error for an address in use contains the address") {
  const auto handler = [](const HttpRequest&) { return HttpResponse(); };
  const HttpServer first({0x7f000001, 0}, handler);
  const Endpoint taken = first.localAddress();
  CHECK_THROWS_WITH(HttpServer(taken, handler), Catch::Contains(toString(taken)));
}

}  // namespace
}  // namespace lugfork
