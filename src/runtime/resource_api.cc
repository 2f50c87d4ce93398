#include "runtime/resource_api.h"

#include <nlohmann/json.hpp>

namespace lugfork {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;

HttpResponse jsonResponse(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump() + "\n";
  return response;
}

/** Problem document of RFC 9457. */
HttpResponse problem(int status, const std::string& title, const json& details = json::object()) {
  json body = {{"type", "about:blank"}, {"title", title}, {"status", status}};
  body.update(details);
  HttpResponse response = jsonResponse(status, body);
  response.content_type = "application/problem+json";
  return response;
}

}  // namespace

HttpResponse ResourceApi::handle(const HttpRequest& request) const {
  if (request.path == "/v1/validate") {
    return request.method == "POST" ? validate(request.body)
                                    : problem(kMethodNotAllowed, "use POST");
  }
  if (request.method != "GET") {
    return problem(kMethodNotAllowed, "use GET");
  }
  if (request.path == "/healthz") {
    return health();
  }
  if (request.path == "/v1/status") {
    return status();
  }
  for (const char* name : {"zones", "services", "backends"}) {
    if (request.path == std::string("/v1/") + name) {
      return collection(name);
    }
  }
  if (request.path == "/v1/configuration") {
    return collection("");
  }
  return problem(kNotFound, "no such resource");
}

HttpResponse ResourceApi::health() const {
  const Reason blocked_by = node_.placementBlockedBy();
  const bool ready = blocked_by == Reason::None;
  return jsonResponse(ready ? kOk : kUnavailable,
                      {{"ready", ready}, {"reason", toString(blocked_by)}});
}

HttpResponse ResourceApi::status() const {
  const FlowCounters& counters = node_.flowCounters();
  return jsonResponse(kOk, {{"node", node_.settings().name},
                            {"zone", node_.settings().zone},
                            {"version_in_force", node_.configuration().version().value()},
                            {"leaving", node_.isLeaving()},
                            {"placement_blocked_by", toString(node_.placementBlockedBy())},
                            {"placements", counters.placements},
                            {"forwards", counters.forwards + counters.forwards_continue_only}});
}

HttpResponse ResourceApi::collection(const std::string& name) const {
  const ConfigurationViewPtr& in_force = node_.configuration().inForce();
  if (in_force == nullptr) {
    return problem(kUnavailable, "no configuration in force yet");
  }
  const json document =
      json::parse(writeConfigurationDocument(in_force->document(), SecretHandling::Omit));
  if (name.empty()) {
    return jsonResponse(kOk, document);
  }
  return jsonResponse(kOk, {{"version", document["version"]}, {name, document[name]}});
}

HttpResponse ResourceApi::validate(const std::string& document) {
  const auto parsed = parseConfigurationDocument(document);
  if (parsed) {
    return jsonResponse(kOk, {{"valid", true}, {"version", parsed.value().version.value()}});
  }
  json errors = json::array();
  for (const DocumentProblem& entry : parsed.error()) {
    errors.push_back({{"path", entry.path}, {"message", entry.message}});
  }
  return problem(kUnprocessable, "the document is not valid", {{"errors", errors}});
}

}  // namespace lugfork
