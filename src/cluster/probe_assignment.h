#pragma once

#include <string>
#include <vector>

#include "common/time_source.h"
#include "config/configuration.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Tunables of health probes. */
struct ProbeSettings {
  /** Balancers that probe each back end. */
  std::size_t probers_per_backend = 2;
  /** Shortest time between two probes of one back end by one balancer. */
  Duration min_interval = seconds(1);
  /** Most probes that a balancer sends a second; a longer list is probed less often. */
  std::size_t max_probes_per_second = 4;
};

/**
 * Picks the back ends that this node probes. Each back end is probed by the live balancers of its
 * zone that rank highest by rendezvous hashing, so all nodes with one view agree without a word,
 * and a change of one balancer moves only its share. A zone without a live balancer is probed by
 * the highest ranking ones of all zones.
 * @param live live members besides this node.
 * @return back ends to probe, in the configuration's order.
 */
std::vector<BackendId> assignProbes(const ConfigurationView& configuration,
                                    const MemberRecord& self, const std::vector<MemberRecord>& live,
                                    std::size_t probers_per_backend);

/** Spreads the probes of an assignment evenly over time. */
class ProbeSchedule {
 public:
  explicit ProbeSchedule(ProbeSettings settings) : settings_(settings) {}

  void setAssignment(std::vector<BackendId> backends);

  /** @return back ends to probe now. */
  std::vector<BackendId> due(MonotonicTime now);

  const std::vector<BackendId>& assignment() const { return backends_; }

  /** @return time between two probes of one back end. */
  Duration interval() const;

 private:
  const ProbeSettings settings_;
  std::vector<BackendId> backends_;
  std::size_t next_ = 0;
  MonotonicTime next_at_;
};

}  // namespace lugfork
