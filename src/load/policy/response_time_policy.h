#pragma once

#include "load/policy/pressure_policy.h"

namespace lugfork {

/**
 * Requests per busy slot, derived from response times. Does not depend on the number of balancers.
 */
class ResponseTimePolicy : public PressurePolicy {
 public:
  explicit ResponseTimePolicy(const PressureSettings& settings) : settings_(settings) {}

  double pressure(const PressureInput& input) const override;

 private:
  const PressureSettings settings_;
};

}  // namespace lugfork
