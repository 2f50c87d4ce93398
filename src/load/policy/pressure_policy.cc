#include "load/policy/pressure_policy.h"

#include <algorithm>

#include "load/policy/in_flight_policy.h"
#include "load/policy/response_time_policy.h"
#include "load/policy/utilization_policy.h"

namespace lugfork {

double requestsPerSlotLimit(const PressureSettings& settings, const PressureInput& input) {
  const bool has_target = input.min_target.count() > 0 && input.load.service_time.count() > 0;
  if (!has_target) {
    return settings.requests_per_slot;
  }
  const std::chrono::duration<double> target = input.min_target;
  const double max_waiting = settings.max_wait_fraction * (target / input.load.service_time);
  return std::clamp(1 + max_waiting, settings.min_requests_per_slot, settings.requests_per_slot);
}

bool remoteBackendsMayHaveCapacity(const PressureInput& input) {
  // Equally full queues differ by less; a zone with free slots responds in half of the time.
  constexpr double kMaxRemoteTimeRatio = 0.7;
  if (!input.has_remote_backends) {
    return false;
  }
  const std::chrono::duration<double> local_time = input.load.response_time;
  const std::chrono::duration<double> remote_time = input.remote_response_time;
  return remote_time.count() <= 0 || remote_time < kMaxRemoteTimeRatio * local_time;
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
    return std::make_unique<UtilizationPolicy>(settings);
  }
  return nullptr;
}

}  // namespace lugfork
