#pragma once

#include "load/policy/pressure_policy.h"

namespace lugfork {

/**
 * Busy slots of the service relative to its slots: this balancer's request rate, multiplied by the
 * number of balancers, times the service time.
 */
class UtilizationPolicy : public PressurePolicy {
 public:
  explicit UtilizationPolicy(const PressureSettings& settings) : settings_(settings) {}

  double pressure(const PressureInput& input) const override;

 private:
  const PressureSettings settings_;
};

}  // namespace lugfork
