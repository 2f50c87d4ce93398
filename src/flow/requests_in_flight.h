#pragma once

#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/**
 * Counts, for each backend, the requests that were forwarded to it by this balancer and are not
 * answered yet. A request whose end is not observed here (the flow moved to another balancer, or
 * the backend reset it) stops counting when its TTL expires.
 */
class RequestsInFlight {
 public:
  explicit RequestsInFlight(const TimeSource& time_source) : time_source_(time_source) {}

  /**
   * Records that a request of the flow is pending at the backend; replaces the flow's previous one
   * there.
   * @param ttl time after which it no longer counts.
   */
  void begin(BackendId backend, const FlowId& flow, Duration ttl);

  /** Records that the flow's request is answered or abandoned. */
  void end(BackendId backend, const FlowId& flow);

  /** @return the number of requests that count now. */
  std::size_t count(BackendId backend) const {
    return count(backend, time_source_.monotonicTime());
  }

  /**
   * @param now current time, for callers that query many backends: reading the clock costs as much
   * as the count.
   */
  std::size_t count(BackendId backend, MonotonicTime now) const;

  /** Removes backends that are not in the configuration. */
  void retain(const ConfigurationView& configuration);

  /** Removes the requests at one backend. */
  void remove(BackendId backend) { requests_.erase(backend); }

  /** @return the number of backends with state. */
  std::size_t trackedBackends() const { return requests_.size(); }

 private:
  struct Request {
    FlowId flow;
    MonotonicTime counts_until;
  };

  const TimeSource& time_source_;
  std::unordered_map<BackendId, std::vector<Request>> requests_;
};

}  // namespace lugfork
