#pragma once

#include "load/policy/pressure_policy.h"

namespace lugfork {

/** Requests for each busy slot, as response times show them. Needs no count of balancers. */
class ResponseTimePolicy : public PressurePolicy {
 public:
  explicit ResponseTimePolicy(const PressureSettings& settings) : settings_(settings) {}

  double pressure(const PressureInput& input) const override;

 private:
  const PressureSettings settings_;
};

}  // namespace lugfork
