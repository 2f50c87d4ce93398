#include "load/policy/pressure_policy.h"

#include <algorithm>

#include "load/policy/in_flight_policy.h"
#include "load/policy/response_time_policy.h"
#include "load/policy/share_policy.h"

namespace lugfork {

double requestsPerSlotLimit(const PressureSettings& settings, const PressureInput& input) {
  const bool is_told = input.smallest_target.count() > 0 && input.load.service_time.count() > 0;
  if (!is_told) {
    return settings.requests_per_slot;
  }
  const std::chrono::duration<double> target = input.smallest_target;
  const double waits = settings.wait_part * (target / input.load.service_time);
  return std::clamp(1 + waits, settings.least_requests_per_slot, settings.requests_per_slot);
}

bool mayHaveRoomElsewhere(const PressureInput& input) {
  // Queues that are as full differ by less; a zone that has room answers in half of the time.
  constexpr double kClearlySooner = 0.7;
  if (!input.has_servers_elsewhere) {
    return false;
  }
  const std::chrono::duration<double> here = input.load.response_time;
  const std::chrono::duration<double> elsewhere = input.response_elsewhere;
  return elsewhere.count() <= 0 || elsewhere < kClearlySooner * here;
}

std::unique_ptr<PressurePolicy> makePressurePolicy(std::string_view name,
                                                   const PressureSettings& settings) {
  if (name == "in_flight") {
    return std::make_unique<InFlightPolicy>(settings);
  }
  if (name == "response_time") {
    return std::make_unique<ResponseTimePolicy>(settings);
  }
  if (name == "share") {
    return std::make_unique<SharePolicy>(settings);
  }
  return nullptr;
}

}  // namespace lugfork
