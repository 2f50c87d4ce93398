#include "load/policy/in_flight_policy.h"

namespace lugfork {

double InFlightPolicy::pressure(const PressureInput& input) const {
  if (input.usable_slots <= 0 || input.load.response_time.count() <= 0) {
    return 0;
  }
  const double present = input.load.in_flight * input.balancers / input.usable_slots;
  return present / requestsPerSlotLimit(settings_, input);
}

}  // namespace lugfork
