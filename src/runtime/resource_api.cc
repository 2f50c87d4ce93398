#include "runtime/resource_api.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "runtime/api_response.h"

namespace lugfork {

namespace {

using nlohmann::json;

constexpr const char* kPrefix = "/v1/";
constexpr Duration kDefaultWatchTimeout = seconds(30);

/** @return the number, or nothing if the text contains anything else. */
std::optional<std::uint64_t> parseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool complete = parsed.ec == std::errc() && parsed.ptr == end;
  return complete ? std::optional(number) : std::nullopt;
}

}  // namespace

WatchParameters parseWatch(const HttpRequest& request) {
  const auto from = request.query.find("watch_from");
  if (from == request.query.end()) {
    return {};
  }
  const auto version = parseNumber(from->second);
  const auto timeout = request.query.find("timeout_ms");
  const auto limit = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(kMaxWatchTimeout).count());
  const auto default_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(kDefaultWatchTimeout).count());
  const auto timeout_ms =
      timeout == request.query.end() ? std::optional(default_ms) : parseNumber(timeout->second);
  if (!version) {
    return {std::nullopt, "watch_from must be a version"};
  }
  if (!timeout_ms || *timeout_ms > limit) {
    return {std::nullopt, "timeout_ms must be a number from 0 to " + std::to_string(limit)};
  }
  return {StatusWatchRequest{ConfigVersion(*version), milliseconds(*timeout_ms)}, ""};
}

HttpResponse ResourceApi::handle(const HttpRequest& request) {
  if (request.path == "/v1/validate") {
    return request.method == "POST" ? validate(request.body)
                                    : problemResponse(kHttpMethodNotAllowed, "use POST");
  }
  if (request.method != "GET") {
    return problemResponse(kHttpMethodNotAllowed, "use GET");
  }
  if (request.path == "/healthz") {
    return health();
  }
  if (request.path == "/v1/status") {
    return status(request);
  }
  if (request.path == "/v1/schema") {
    return taggedResponse(request, json::parse(kConfigurationSchema));
  }
  if (request.path == "/v1/configuration") {
    return configuration(request);
  }
  if (request.path.starts_with(kPrefix)) {
    return resources(request, request.path.substr(std::string_view(kPrefix).size()));
  }
  return problemResponse(kHttpNotFound, "no such resource");
}

HttpResponse ResourceApi::health() const {
  const Reason blocked_by = node_.placementBlockedBy();
  const bool ready = blocked_by == Reason::None;
  return jsonResponse(ready ? kHttpOk : kHttpUnavailable,
                      {{"ready", ready}, {"reason", toString(blocked_by)}});
}

HttpResponse ResourceApi::status(const HttpRequest& request) const {
  const FlowCounters& counters = node_.flowCounters();
  const ClusterStatus cluster = node_.clusterStatus();
  return taggedResponse(request,
                        {{"node", node_.settings().name},
                         {"zone", node_.settings().zone},
                         {"version_in_force", node_.configuration().version().value()},
                         {"leaving", node_.isLeaving()},
                         {"join", toString(cluster.join)},
                         {"degraded", cluster.degraded()},
                         {"live_members", cluster.live_members},
                         {"known_members", cluster.known_members},
                         {"configuration_conflicts", cluster.configuration_conflicts},
                         {"placement_blocked_by", toString(node_.placementBlockedBy())},
                         {"in_force", views_.propagationStatus()},
                         {"placements", counters.placements},
                         {"forwards", counters.forwards + counters.forwards_continue_only}});
}

HttpResponse ResourceApi::configuration(const HttpRequest& request) const {
  const ConfigurationViewPtr& in_force = node_.configuration().inForce();
  if (in_force == nullptr) {
    return problemResponse(kHttpUnavailable, "no configuration in force yet");
  }
  return taggedResponse(
      request, json::parse(writeConfigurationDocument(in_force->document(), SecretHandling::Omit)));
}

HttpResponse ResourceApi::resources(const HttpRequest& request, const std::string& path) {
  const auto slash = path.find('/');
  const std::string collection = path.substr(0, slash);
  if (!ResourceViews::isCollection(collection)) {
    return problemResponse(kHttpNotFound, "no such resource");
  }
  if (node_.configuration().inForce() == nullptr) {
    return problemResponse(kHttpUnavailable, "no configuration in force yet");
  }
  const json items = views_.collection(collection);
  const std::uint64_t version = node_.configuration().version().value();
  if (slash == std::string::npos) {
    return taggedResponse(request, {{"version", version}, {"items", items}});
  }
  const std::string name = path.substr(slash + 1);
  for (const json& item : items) {
    if (item["metadata"]["name"] == name) {
      return taggedResponse(request, item);
    }
  }
  return problemResponse(kHttpNotFound, "no such resource",
                         {{"detail", collection + " has none named \"" + name + "\""}});
}

HttpResponse ResourceApi::validate(const std::string& document) {
  const auto parsed = parseConfigurationDocument(document);
  if (parsed) {
    return jsonResponse(kHttpOk, {{"valid", true}, {"version", parsed.value().version.value()}});
  }
  json errors = json::array();
  for (const DocumentProblem& entry : parsed.error()) {
    errors.push_back({{"path", entry.path}, {"message", entry.message}});
  }
  return problemResponse(kHttpUnprocessable, "the document is not valid", {{"errors", errors}});
}

}  // namespace lugfork
