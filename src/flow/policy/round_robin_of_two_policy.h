#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/**
 * Takes the candidates in turn, from a random start, but gives the flow to a randomly drawn other
 * candidate where that one is estimated to be clearly less loaded.
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
