#include "flow/response_times.h"

#include <algorithm>

namespace lugfork {

void ResponseTimes::onResponse(BackendId backend, Duration duration) {
  Record& record = records_[backend];
  const double sample_ms = std::chrono::duration<double, std::milli>(duration).count();
  if (time_source_.monotonicTime() - record.sampled_at > settings_.sample_ttl) {
    record.samples = 0;
  }
  const double weight = record.samples == 0 ? 1 : settings_.smoothing_factor;
  record.smoothed_ms += weight * (sample_ms - record.smoothed_ms);
  ++record.samples;
  record.sampled_at = time_source_.monotonicTime();
}

void ResponseTimes::compare(const ConfigurationView& configuration) {
  slow_fractions_.clear();
  std::unordered_map<ServiceId, std::vector<TimeEstimate>> times_by_service;
  for (const auto& [id, record] : records_) {
    const Backend* backend = hasEstimate(record) ? configuration.backend(id) : nullptr;
    if (backend != nullptr && !backend->retired) {
      times_by_service[backend->service].push_back({id, record.smoothed_ms});
    }
  }
  for (auto& [service, times] : times_by_service) {
    compareService(times);
  }
}

void ResponseTimes::compareService(std::vector<TimeEstimate>& times) {
  if (times.size() < settings_.min_backends) {
    return;
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end(),
                   [](const TimeEstimate& left, const TimeEstimate& right) {
                     return left.smoothed_ms < right.smoothed_ms;
                   });
  const double median_ms = middle->smoothed_ms;
  for (const TimeEstimate& time : times) {
    if (time.smoothed_ms > settings_.slow_ratio * median_ms) {
      slow_fractions_[time.backend] =
          std::max(settings_.min_flow_fraction, median_ms / time.smoothed_ms);
    }
  }
}

double ResponseTimes::flowFractionOf(BackendId backend) const {
  const auto found = slow_fractions_.find(backend);
  return found == slow_fractions_.end() ? 1 : found->second;
}

void ResponseTimes::remove(BackendId backend) {
  records_.erase(backend);
  slow_fractions_.erase(backend);
}

void ResponseTimes::retain(const ConfigurationView& configuration) {
  const auto is_gone = [&](const auto& entry) {
    return configuration.backend(entry.first) == nullptr;
  };
  std::erase_if(records_, is_gone);
  std::erase_if(slow_fractions_, is_gone);
}

bool ResponseTimes::hasEstimate(const Record& record) const {
  return record.samples >= settings_.min_samples &&
         time_source_.monotonicTime() - record.sampled_at <= settings_.sample_ttl;
}

}  // namespace lugfork
