#pragma once

#include "flow/policy/placement_policy.h"

namespace lugfork {

/**
 * Takes the candidate with the least reported load, the first of equals by a random start.
 * Baseline for comparisons; looks at every candidate.
 */
class LeastReportedPolicy : public PlacementPolicy {
 public:
  std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                     RandomGenerator& random) override;
};

}  // namespace lugfork
