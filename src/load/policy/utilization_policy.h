#pragma once

#include "load/policy/pressure_policy.h"

namespace lugfork {

/** The own part of all requests, taken as that of every balancer, over the slots of the service. */
class UtilizationPolicy : public PressurePolicy {
 public:
  explicit UtilizationPolicy(const PressureSettings& settings) : settings_(settings) {}

  double pressure(const PressureInput& input) const override;

 private:
  const PressureSettings settings_;
};

}  // namespace lugfork
