#pragma once

#include "load/policy/pressure_policy.h"

namespace lugfork {

/**
 * Requests present for each slot: those of this balancer, taken as the part of every balancer, over
 * the slots of the service. Needs no time without a queue, so that it also sees an overload that
 * stands since before this balancer's start.
 */
class InFlightPolicy : public PressurePolicy {
 public:
  explicit InFlightPolicy(const PressureSettings& settings) : settings_(settings) {}

  double pressure(const PressureInput& input) const override;

 private:
  const PressureSettings settings_;
};

}  // namespace lugfork
