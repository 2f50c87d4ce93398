#include "load/policy/response_time_policy.h"

#include <algorithm>

namespace lugfork {

double ResponseTimePolicy::pressure(const PressureInput& input) const {
  const double requests_per_slot = input.load.requestsPerBusySlot();
  if (requests_per_slot <= 0 || input.usable_slots <= 0) {
    return 0;
  }
  const double requests_in_flight =
      input.load.in_flight * input.balancer_count / input.usable_slots;
  const double pressure = requests_per_slot / requestsPerSlotLimit(settings_, input);
  return requests_in_flight < settings_.free_requests_per_slot
             ? std::min(pressure, requests_in_flight)
             : pressure;
}

}  // namespace lugfork
