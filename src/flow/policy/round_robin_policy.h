#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/** Round robin from a random start. Baseline for comparisons. */
class RoundRobinPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;

 private:
  bool started_ = false;
  std::size_t next_ = 0;
};

}  // namespace lugfork
