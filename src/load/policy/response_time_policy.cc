#include "load/policy/response_time_policy.h"

#include <algorithm>

namespace lugfork {

double ResponseTimePolicy::pressure(const PressureInput& input) const {
  const double requests_per_slot = input.load.requestsPerBusySlot();
  if (requests_per_slot <= 0 || input.usable_slots <= 0) {
    return 0;
  }
  double limit = settings_.requests_per_slot;
  if (input.smallest_target.count() > 0) {
    const std::chrono::duration<double> target = input.smallest_target;
    const double waits = settings_.wait_part * (target / input.load.service_time);
    limit = std::clamp(1 + waits, settings_.least_requests_per_slot, limit);
  }
  const double present = input.load.in_flight * input.balancers / input.usable_slots;
  const double pressure = requests_per_slot / limit;
  return present < settings_.free_below ? std::min(pressure, present) : pressure;
}

}  // namespace lugfork
