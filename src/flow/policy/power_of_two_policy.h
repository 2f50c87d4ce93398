#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/** Takes the less loaded, by estimate, of two candidates drawn at random. */
class PowerOfTwoPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;
};

}  // namespace lugfork
