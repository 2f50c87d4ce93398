#include "flow/policy/bounded_rendezvous_policy.h"

#include <xxhash.h>

#include <catch2/catch.hpp>
#include <cmath>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

/** Candidates with given loads and weights; counts how often a load is read. */
class CandidatesFake : public CandidateSet {
 public:
  std::size_t size() const override { return backends.size(); }
  const Backend& backend(std::size_t index) const override { return backends[index]; }
  double estimatedLoad(std::size_t index) const override {
    ++load_reads;
    return loads[index];
  }
  double reportedLoad(std::size_t index) const override { return loads[index]; }
  double weight(std::size_t index) const override { return weights[index]; }

  std::vector<Backend> backends;
  std::vector<double> loads;
  std::vector<double> weights;
  mutable std::size_t load_reads = 0;
};

/** Reference implementation: the highest score among the candidates within the load bound. */
std::size_t referenceChoice(const CandidatesFake& candidates, const FlowId& flow) {
  double sum = 0;
  for (const double load : candidates.loads) {
    sum += load;
  }
  const double bound = 1.25 * (sum / static_cast<double>(candidates.size()));
  std::size_t best = 0;
  double best_score = -1;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const std::uint64_t content[] = {flow.high, flow.low, candidates.backends[index].id.value()};
    const std::uint64_t hash = XXH3_64bits(content, sizeof(content));
    const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    const double score = -candidates.weights[index] / std::log(unit);
    if (candidates.loads[index] <= bound && score > best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

CandidatesFake makeCandidates(std::uint32_t count, RandomGenerator& random, bool loaded) {
  CandidatesFake candidates;
  for (std::uint32_t id = 1; id <= count; ++id) {
    candidates.backends.push_back(makeBackend(id, ServiceId(1), kLac));
    candidates.weights.push_back(static_cast<double>(1 + random.below(4)) * random.unit());
    candidates.loads.push_back(loaded && random.below(3) > 0 ? random.unit() * 3 : 0);
  }
  return candidates;
}

TEST_CASE("the candidate with the highest score within the load bound is chosen", "[rendezvous]") {
  const auto random = makeSeededRandom(21);
  BoundedRendezvousPolicy policy;
  for (int trial = 0; trial < 2000; ++trial) {
    const auto count = static_cast<std::uint32_t>(1 + random->below(120));
    const CandidatesFake candidates = makeCandidates(count, *random, trial % 2 == 0);
    const FlowId flow{random->next(), random->next()};
    REQUIRE(policy.choose(candidates, flow, *random) == referenceChoice(candidates, flow));
  }
}

TEST_CASE("loads are read only where they can affect the choice", "[rendezvous]") {
  const auto random = makeSeededRandom(22);
  BoundedRendezvousPolicy policy;
  const CandidatesFake idle = makeCandidates(3000, *random, false);
  for (std::uint64_t flow = 0; flow < 20; ++flow) {
    policy.choose(idle, {flow, 1}, *random);
  }
  // A load is read for each new best score: about the logarithm of the number of candidates.
  CHECK(idle.load_reads < std::size_t{20} * 20);
}

}  // namespace
}  // namespace lugfork
