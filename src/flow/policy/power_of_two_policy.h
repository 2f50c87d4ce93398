#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/** Chooses the candidate with the lower estimated load of two random ones. */
class PowerOfTwoPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;
};

}  // namespace lugfork
