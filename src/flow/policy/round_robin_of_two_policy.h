#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/**
 * Round robin from a random start, except that a randomly drawn candidate is chosen instead if its
 * estimated load is clearly lower.
 */
class RoundRobinOfTwoPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;

 private:
  bool started_ = false;
  std::size_t next_ = 0;
};

}  // namespace lugfork
