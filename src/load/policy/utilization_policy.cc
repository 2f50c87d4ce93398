#include "load/policy/utilization_policy.h"

namespace lugfork {

double UtilizationPolicy::pressure(const PressureInput& input) const {
  constexpr double kRateWindowSeconds = 0.5;
  const bool has_enough_requests =
      input.load.requests_per_second * kRateWindowSeconds >= settings_.min_requests;
  if (!has_enough_requests || input.usable_slots <= 0) {
    return 0;
  }
  const double service_s = std::chrono::duration<double>(input.load.service_time).count();
  const double busy_slots = input.load.requests_per_second * service_s * input.balancer_count;
  return busy_slots / input.usable_slots / settings_.max_utilization;
}

}  // namespace lugfork
