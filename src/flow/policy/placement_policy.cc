#include "flow/policy/placement_policy.h"

#include "flow/policy/bounded_rendezvous_policy.h"
#include "flow/policy/least_reported_policy.h"
#include "flow/policy/power_of_two_policy.h"
#include "flow/policy/round_robin_of_two_policy.h"
#include "flow/policy/round_robin_policy.h"

namespace lugfork {

PlacementPolicyPtr makePlacementPolicy(std::string_view name) {
  if (name == "power_of_two") {
    return std::make_unique<PowerOfTwoPolicy>();
  }
  if (name == "round_robin") {
    return std::make_unique<RoundRobinPolicy>();
  }
  if (name == "round_robin_of_two") {
    return std::make_unique<RoundRobinOfTwoPolicy>();
  }
  if (name == "least_reported") {
    return std::make_unique<LeastReportedPolicy>();
  }
  if (name == "bounded_rendezvous") {
    return std::make_unique<BoundedRendezvousPolicy>();
  }
  return nullptr;
}

const std::vector<std::string>& placementPolicyNames() {
  static const std::vector<std::string> kNames = {"power_of_two", "round_robin", "least_reported",
                                                  "bounded_rendezvous", "round_robin_of_two"};
  return kNames;
}

}  // namespace lugfork
