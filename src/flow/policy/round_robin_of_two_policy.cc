#include "flow/policy/round_robin_of_two_policy.h"

namespace lugfork {

namespace {

/** Minimum difference of load ratios that exceeds the noise of the reports. */
constexpr double kMinLoadDifference = 0.5;

}  // namespace

std::size_t RoundRobinOfTwoPolicy::choose(const CandidateSet& candidates, const FlowId&,
                                          RandomGenerator& random) {
  if (!started_) {
    next_ = random.below(candidates.size());
    started_ = true;
  }
  const std::size_t next_in_turn = next_++ % candidates.size();
  const std::size_t random_candidate = random.below(candidates.size());
  const double difference =
      candidates.estimatedLoad(next_in_turn) - candidates.estimatedLoad(random_candidate);
  return difference > kMinLoadDifference ? random_candidate : next_in_turn;
}

}  // namespace lugfork
