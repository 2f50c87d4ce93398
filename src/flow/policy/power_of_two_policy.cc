#include "flow/policy/power_of_two_policy.h"

namespace lugfork {

std::size_t PowerOfTwoPolicy::choose(const CandidateSet& candidates, const FlowId&,
                                     RandomGenerator& random) {
  const std::size_t count = candidates.size();
  const std::size_t first = random.below(count);
  if (count == 1) {
    return first;
  }
  std::size_t second = random.below(count - 1);
  if (second >= first) {
    ++second;
  }
  return candidates.estimatedLoad(second) < candidates.estimatedLoad(first) ? second : first;
}

}  // namespace lugfork
