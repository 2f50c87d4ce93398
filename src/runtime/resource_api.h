#pragma once

#include <optional>

#include "balancer/node.h"
#include "runtime/http_server.h"
#include "runtime/peer_status_table.h"
#include "runtime/resource_views.h"

namespace lugfork {

/** A read that waits until a version above the given one is in force. */
struct WatchRequest {
  ConfigVersion from;
  Duration timeout{};
};

/** What the parameters of a request say about watching. */
struct WatchParameters {
  /** Unset for a plain read. */
  std::optional<WatchRequest> watch;
  /** What is wrong with the parameters; empty where nothing is. */
  std::string problem;
};

/** Longest wait of one watch. */
inline constexpr Duration kMaxWatch = seconds(60);

/** Reads `watch_from` and `timeout_ms` of a request's query. */
WatchParameters parseWatch(const HttpRequest& request);

/**
 * Resource API of one balancer (docs/API.md). All calls must run where the node runs; a watch is
 * waited for outside (WatchParameters) and then read as any other request.
 */
class ResourceApi {
 public:
  ResourceApi(const Node& node, const PeerStatusTable& peers, const TimeSource& time_source)
      : node_(node), views_(node, peers, time_source) {}

  HttpResponse handle(const HttpRequest& request);

  void setMachines(std::vector<Machine> machines) { views_.setMachines(std::move(machines)); }

  /** Notes the conditions of all resources; to be called every few seconds. */
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
