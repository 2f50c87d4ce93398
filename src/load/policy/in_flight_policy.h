#pragma once

#include "load/policy/pressure_policy.h"

namespace lugfork {

/**
 * Requests in flight per slot: those of this balancer, multiplied by the number of balancers,
 * divided by the slots of the service. Needs no response time without queueing, so it also detects
 * an overload that began before this balancer started.
 */
class InFlightPolicy : public PressurePolicy {
 public:
  explicit InFlightPolicy(const PressureSettings& settings) : settings_(settings) {}

  double pressure(const PressureInput& input) const override;

 private:
  const PressureSettings settings_;
};

}  // namespace lugfork
