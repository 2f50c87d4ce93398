#pragma once

#include "balancer/node.h"
#include "runtime/http_server.h"

namespace lugfork {

/**
 * Resource API of one balancer. handle() must run where the node runs.
 *
 * GET /healthz, /v1/status, /v1/configuration, /v1/zones, /v1/services, /v1/backends;
 * POST /v1/validate.
 */
class ResourceApi {
 public:
  explicit ResourceApi(const Node& node) : node_(node) {}

  HttpResponse handle(const HttpRequest& request) const;

 private:
  HttpResponse health() const;
  HttpResponse status() const;
  HttpResponse collection(const std::string& name) const;
  static HttpResponse validate(const std::string& document);

  const Node& node_;
};

}  // namespace lugfork
