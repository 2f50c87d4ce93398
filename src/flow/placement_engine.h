#pragma once

#include <unordered_map>

#include "common/result.h"
#include "flow/backend_load_table.h"
#include "flow/policy/placement_policy.h"
#include "wire/datagram.h"

namespace lugfork {

/** A new flow can't be placed now. */
struct PlacementRefusal {
  Reason reason = Reason::None;
  Duration retry_after{};
};

/** Tunables of the placement of new flows. */
struct PlacementSettings {
  /** Longest time for which a list of candidates is used before it is made again. */
  Duration candidate_list_lifetime = milliseconds(200);
  /** Estimated load over capacity from which a back end counts as full. */
  double full_load = 1.0;
  /** Time that callers are told to wait when nothing can take their flow. */
  Duration retry_after = seconds(1);
};

/**
 * Chooses the back end of a new flow: candidates are the service's back ends in its allowed zones
 * that may get new work; the policy picks one of them.
 */
class PlacementEngine {
 public:
  PlacementEngine(PlacementSettings settings, PlacementPolicyPtr policy, BackendLoadTable& loads,
                  const TimeSource& time_source, RandomGenerator& random);

  void setConfiguration(ConfigurationViewPtr configuration);

  /** Makes the next placement look at every back end's state again. */
  void invalidateCandidates() { candidates_.clear(); }

  /**
   * Places a flow and counts it to the back end's load.
   * @param excluded back end that just refused this flow; unset for none.
   * @return the back end, or why there is none and when to come back.
   */
  Result<const Backend*, PlacementRefusal> place(const Service& service, const FlowId& flow,
                                                 BackendId excluded = BackendId());

 private:
  struct CandidateList {
    std::vector<const Backend*> backends;
    MonotonicTime made_at;
  };

  const CandidateList& candidatesOf(const Service& service);
  std::vector<const Backend*> eligibleBackends(const Service& service) const;

  const PlacementSettings settings_;
  PlacementPolicyPtr policy_;
  BackendLoadTable& loads_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  ConfigurationViewPtr configuration_;
  std::unordered_map<ServiceId, CandidateList> candidates_;
};

}  // namespace lugfork
