#include "flow/outlier_detector.h"

#include <algorithm>

namespace lugfork {

void OutlierDetector::onFailure(const Backend& backend, const FlowKey& attempt,
                                std::size_t service_size) {
  const MonotonicTime now = time_source_.monotonicTime();
  Record& record = records_[backend.id];
  if (record.failures > 0 && record.last_attempt == attempt) {
    return;
  }
  if (now - record.last_failure_at > settings_.failure_window) {
    record.failures = 0;
  }
  record.last_attempt = attempt;
  record.last_failure_at = now;
  ++record.failures;
  if (record.failures >= settings_.failures_to_eject && now >= record.ejected_until) {
    eject(backend, record, service_size);
  }
}

void OutlierDetector::eject(const Backend& backend, Record& record, std::size_t service_size) {
  std::vector<BackendId>& ejected = ejectedOf(backend.service);
  const double limit = settings_.max_ejected_fraction * static_cast<double>(service_size);
  if (static_cast<double>(ejected.size() + 1) > limit) {
    return;
  }
  ++record.ejections;
  record.failures = 0;
  const Duration time = std::min(settings_.max_ejection_duration,
                                 settings_.base_ejection_duration * record.ejections);
  const double jitter =
      static_cast<double>(time.count()) * settings_.max_jitter_fraction * random_.unit();
  record.ejected_until =
      time_source_.monotonicTime() + time + Duration(static_cast<std::int64_t>(jitter));
  ejected.push_back(backend.id);
}

void OutlierDetector::onSuccess(BackendId backend) {
  if (records_.empty()) {
    return;
  }
  const auto found = records_.find(backend);
  if (found != records_.end() && !isEjected(backend)) {
    records_.erase(found);
  }
}

bool OutlierDetector::isEjected(BackendId backend) const {
  if (records_.empty()) {
    return false;
  }
  const auto found = records_.find(backend);
  return found != records_.end() && time_source_.monotonicTime() < found->second.ejected_until;
}

std::vector<BackendId>& OutlierDetector::ejectedOf(ServiceId service) {
  std::vector<BackendId>& ejected = ejected_[service];
  std::erase_if(ejected, [this](BackendId backend) { return !isEjected(backend); });
  return ejected;
}

}  // namespace lugfork
