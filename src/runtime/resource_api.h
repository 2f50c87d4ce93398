#pragma once

#include <optional>

#include "balancer/node.h"
#include "runtime/http_server.h"
#include "runtime/peer_status_table.h"
#include "runtime/resource_views.h"

namespace lugfork {

/** Request to wait until a version above `from` is in force. */
struct StatusWatchRequest {
  ConfigVersion from;
  Duration timeout{};
};

/** Watch parameters of a request. */
struct WatchParameters {
  /** Unset for a plain read. */
  std::optional<StatusWatchRequest> watch;
  /** Error message; empty if the parameters are valid. */
  std::string problem;
};

/** Upper limit of the timeout of a watch. */
inline constexpr Duration kMaxWatchTimeout = seconds(60);

/** Parses `watch_from` and `timeout_ms` of a request's query. */
WatchParameters parseWatch(const HttpRequest& request);

/**
 * Resource API of one balancer (docs/API.md). All calls must be made on the event loop of the node.
 * The caller of handle() waits for a watch (WatchParameters) before it passes on the request.
 */
class ResourceApi {
 public:
  ResourceApi(const Node& node, const PeerStatusTable& peers, const TimeSource& time_source)
      : node_(node), views_(node, peers, time_source) {}

  HttpResponse handle(const HttpRequest& request);

  void setMachines(std::vector<Machine> machines) { views_.setMachines(std::move(machines)); }

  /** Records the conditions of all resources; must be called every few seconds. */
  void observeConditions() { views_.observeAll(); }

 private:
  HttpResponse health() const;
  HttpResponse status(const HttpRequest& request) const;
  HttpResponse configuration(const HttpRequest& request) const;
  HttpResponse resources(const HttpRequest& request, const std::string& path);
  static HttpResponse validate(const std::string& document);

  const Node& node_;
  ResourceViews views_;
};

}  // namespace lugfork
