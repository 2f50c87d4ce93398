#pragma once

#include <string>
#include <vector>

#include "common/time_source.h"
#include "config/configuration.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Settings of health probes. */
struct ProbeSettings {
  /** Number of balancers that probe each backend. */
  std::size_t probers_per_backend = 2;
  /** Minimum time between two probes of one backend by one balancer. */
  Duration min_interval = seconds(1);
  /** Maximum probe rate of a balancer [1/s]; with many backends each is probed less often. */
  std::size_t max_probes_per_second = 4;
};

/**
 * Selects the backends that this node probes. Each backend is probed by the live balancers of its
 * zone that rank highest by rendezvous hashing. Nodes with the same view therefore agree without
 * communication, and a change of one balancer moves only the backends assigned to it. Backends in
 * a zone without live balancers are probed by the highest ranking balancers of all zones.
 * @param live live members, excluding this node.
 * @return backends to probe, in the order of the configuration.
 */
std::vector<BackendId> assignProbes(const ConfigurationView& configuration,
                                    const MemberRecord& self, const std::vector<MemberRecord>& live,
                                    std::size_t probers_per_backend);

/** Spreads the probes of an assignment evenly over time. */
class BackendProbeSchedule {
 public:
  explicit BackendProbeSchedule(ProbeSettings settings) : settings_(settings) {}

  void setAssignment(std::vector<BackendId> backends);

  /** @return backends to probe now. */
  std::vector<BackendId> due(MonotonicTime now);

  const std::vector<BackendId>& assignment() const { return backends_; }

  /** @return time between two probes of one backend. */
  Duration interval() const;

 private:
  const ProbeSettings settings_;
  std::vector<BackendId> backends_;
  std::size_t next_ = 0;
  MonotonicTime next_at_;
};

}  // namespace lugfork
