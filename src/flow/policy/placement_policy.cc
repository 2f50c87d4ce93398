#include "flow/policy/placement_policy.h"

#include "flow/policy/power_of_two_policy.h"

namespace lugfork {

PlacementPolicyPtr makePlacementPolicy(std::string_view name) {
  if (name == "power_of_two") {
    return std::make_unique<PowerOfTwoPolicy>();
  }
  return nullptr;
}

const std::vector<std::string>& placementPolicyNames() {
  static const std::vector<std::string> kNames = {"power_of_two"};
  return kNames;
}

}  // namespace lugfork
