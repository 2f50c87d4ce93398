#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/**
 * Weighted rendezvous hashing of the flow over the candidates, weighted by slots, that passes over
 * candidates whose estimated load is well above the mean. Looks at every candidate.
 */
class BoundedRendezvousPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;
};

}  // namespace lugfork
