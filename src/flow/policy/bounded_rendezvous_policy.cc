#include "flow/policy/bounded_rendezvous_policy.h"

#include <xxhash.h>

#include <cmath>

namespace lugfork {

namespace {

/** Highest load of a candidate, as a multiple of the mean. */
constexpr double kLoadBound = 1.25;

/** @return the rendezvous score; the highest wins, in proportion to the weight. */
double score(const FlowId& flow, BackendId backend, double weight) {
  const std::uint64_t content[] = {flow.high, flow.low, backend.value()};
  const std::uint64_t hash = XXH3_64bits(content, sizeof(content));
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return -weight / std::log(unit);
}

double meanLoad(const CandidateSet& candidates) {
  double sum = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    sum += candidates.estimatedLoad(index);
  }
  return sum / static_cast<double>(candidates.size());
}

}  // namespace

std::size_t BoundedRendezvousPolicy::choose(const CandidateSet& candidates, const FlowId& flow,
                                            RandomGenerator&) {
  const double bound = kLoadBound * meanLoad(candidates);
  std::size_t best = 0;
  double best_score = -1;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (candidates.estimatedLoad(index) > bound) {
      continue;
    }
    const double candidate_score =
        score(flow, candidates.backend(index).id, candidates.weight(index));
    if (candidate_score > best_score) {
      best = index;
      best_score = candidate_score;
    }
  }
  return best;
}

}  // namespace lugfork
