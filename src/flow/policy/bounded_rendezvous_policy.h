#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/**
 * Rendezvous hashing of the flow over the candidates by their weights, with bounded load:
 * candidates whose estimated load is well above the mean are excluded. Evaluates every candidate.
 */
class BoundedRendezvousPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;
};

}  // namespace lugfork
