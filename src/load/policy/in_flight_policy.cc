#include "load/policy/in_flight_policy.h"

namespace lugfork {

double InFlightPolicy::pressure(const PressureInput& input) const {
  if (input.usable_slots <= 0 || input.load.response_time.count() <= 0) {
    return 0;
  }
  const double requests_in_flight =
      input.load.in_flight * input.balancer_count / input.usable_slots;
  return requests_in_flight / requestsPerSlotLimit(settings_, input);
}

}  // namespace lugfork
