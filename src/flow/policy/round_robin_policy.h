#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/** Takes the candidates in turn. Baseline for comparisons. */
class RoundRobinPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;

 private:
  std::size_t next_ = 0;
};

}  // namespace lugfork
