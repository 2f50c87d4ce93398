#include "flow/policy/round_robin_policy.h"

namespace lugfork {

std::size_t RoundRobinPolicy::choose(const CandidateSet& candidates, const FlowId&,
                                     RandomGenerator& random) {
  if (!started_) {
    next_ = random.below(candidates.size());
    started_ = true;
  }
  return next_++ % candidates.size();
}

}  // namespace lugfork
