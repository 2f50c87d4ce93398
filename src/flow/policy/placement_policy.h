#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/random_generator.h"
#include "config/configuration.h"

namespace lugfork {

/** Back ends that may get a new flow of one service, with what is believed of their load. */
class CandidateSet {
 public:
  virtual ~CandidateSet() = default;

  /** @return how many candidates there are. */
  virtual std::size_t size() const = 0;
  virtual const Backend& backend(std::size_t index) const = 0;

  /** @return estimated load over capacity; 1 stands for full. */
  virtual double estimatedLoad(std::size_t index) const = 0;

  /** @return last reported load over capacity. */
  virtual double reportedLoad(std::size_t index) const = 0;

  /** @return share of new flows that suits the candidate, relative to the others. */
  virtual double weight(std::size_t index) const = 0;
};

/** Chooses one candidate for a new flow. */
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /**
   * @param candidates at least one back end.
   * @return the index of the chosen candidate.
   */
  virtual std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                             RandomGenerator& random) = 0;
};

using PlacementPolicyPtr = std::unique_ptr<PlacementPolicy>;

/** @return the policy with that name, or nullptr for an unknown name. */
PlacementPolicyPtr makePlacementPolicy(std::string_view name);

/** @return the names that makePlacementPolicy knows. */
const std::vector<std::string>& placementPolicyNames();

}  // namespace lugfork
