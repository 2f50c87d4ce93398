#include "flow/policy/round_robin_policy.h"

namespace lugfork {

std::size_t RoundRobinPolicy::choose(const CandidateSet& candidates, const FlowId&,
                                     RandomGenerator&) {
  return next_++ % candidates.size();
}

}  // namespace lugfork
