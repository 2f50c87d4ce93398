#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/random_generator.h"
#include "config/configuration.h"

namespace lugfork {

/** Backends that may receive a new flow of a service, with their loads and weights. */
class CandidateSet {
 public:
  virtual ~CandidateSet() = default;

  virtual std::size_t size() const = 0;
  virtual const Backend& backend(std::size_t index) const = 0;

  /** @return ratio of the estimated load to the capacity; 1 is full. */
  virtual double estimatedLoad(std::size_t index) const = 0;

  /** @return ratio of the last reported load to the capacity. */
  virtual double reportedLoad(std::size_t index) const = 0;

  /** @return weight in the distribution of new flows, relative to the other candidates. */
  virtual double weight(std::size_t index) const = 0;
};

/** Chooses one candidate for a new flow. */
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /**
   * @param candidates must not be empty.
   * @return the index of the chosen candidate.
   */
  virtual std::size_t choose(const CandidateSet& candidates, const FlowId& flow,
                             RandomGenerator& random) = 0;
};

using PlacementPolicyPtr = std::unique_ptr<PlacementPolicy>;

/** @return the policy with the given name, or nullptr if the name is unknown. */
PlacementPolicyPtr makePlacementPolicy(std::string_view name);

/** @return the names accepted by makePlacementPolicy. */
const std::vector<std::string>& placementPolicyNames();

}  // namespace lugfork
