#include "load/policy/share_policy.h"

namespace lugfork {

double SharePolicy::pressure(const PressureInput& input) const {
  constexpr double kHalfSecond = 0.5;
  const bool is_believed =
      input.load.requests_per_second * kHalfSecond >= settings_.requests_needed;
  if (!is_believed || input.usable_slots <= 0) {
    return 0;
  }
  const double service_s = std::chrono::duration<double>(input.load.service_time).count();
  const double busy_slots = input.load.requests_per_second * service_s * input.balancers;
  return busy_slots / input.usable_slots / settings_.share;
}

}  // namespace lugfork
