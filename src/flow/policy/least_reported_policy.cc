#include "flow/policy/least_reported_policy.h"

namespace lugfork {

std::size_t LeastReportedPolicy::choose(const CandidateSet& candidates, const FlowId&,
                                        RandomGenerator& random) {
  const std::size_t count = candidates.size();
  const std::size_t start = random.below(count);
  std::size_t best = start;
  double best_load = candidates.reportedLoad(start);
  for (std::size_t step = 1; step < count; ++step) {
    const std::size_t index = (start + step) % count;
    const double load = candidates.reportedLoad(index);
    if (load < best_load) {
      best = index;
      best_load = load;
    }
  }
  return best;
}

}  // namespace lugfork
