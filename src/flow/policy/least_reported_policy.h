#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/**
 * Chooses the candidate with the least reported load; ties are broken by a random start index.
 * Baseline for comparisons. Evaluates every candidate.
 */
class LeastReportedPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;
};

}  // namespace lugfork
