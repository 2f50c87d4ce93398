#pragma once

#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/**
 * Counts, for each back end, the requests that went to it through this node and were not answered
 * yet. A request whose end is never seen here (the flow went on through another node, or the back
 * end reset it) stops counting when its time is over.
 */
class RequestsInFlight {
 public:
  explicit RequestsInFlight(const TimeSource& time_source) : time_source_(time_source) {}

  /**
   * A request of the flow is with the back end; one that the flow had there before is replaced.
   * @param lifetime time after which it no longer counts.
   */
  void begin(BackendId backend, const FlowId& flow, Duration ttl);

  /** The flow's request is answered or given up. */
  void end(BackendId backend, const FlowId& flow);

  /** @return the requests that count now. */
  std::size_t count(BackendId backend) const {
    return count(backend, time_source_.monotonicTime());
  }

  /** @param now the time, for who asks for many back ends: reading the clock costs as much as the
   * count. */
  std::size_t count(BackendId backend, MonotonicTime now) const;

  /** Forgets back ends that are not known any more. */
  void retain(const ConfigurationView& configuration);

  /** Forgets the requests at one back end. */
  void remove(BackendId backend) { requests_.erase(backend); }

  /** @return the back ends that are remembered. */
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
