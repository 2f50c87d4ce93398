#include "load/policy/response_time_policy.h"

#include <algorithm>

namespace lugfork {

double ResponseTimePolicy::pressure(const PressureInput& input) const {
  const double requests_per_slot = input.load.requestsPerBusySlot();
  if (requests_per_slot <= 0 || input.usable_slots <= 0) {
    return 0;
  }
  const double present = input.load.in_flight * input.balancers / input.usable_slots;
  const double pressure = requests_per_slot / requestsPerSlotLimit(settings_, input);
  return present < settings_.free_below ? std::min(pressure, present) : pressure;
}

}  // namespace lugfork
