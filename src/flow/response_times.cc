#include "flow/response_times.h"

#include <algorithm>

namespace lugfork {

void ResponseTimes::onResponse(BackendId backend, Duration duration) {
  Record& record = records_[backend];
  const double sample_ms = std::chrono::duration<double, std::milli>(duration).count();
  if (time_source_.monotonicTime() - record.sampled_at > settings_.lifetime) {
    record.samples = 0;
  }
  const double weight = record.samples == 0 ? 1 : settings_.smoothing;
  record.smoothed_ms += weight * (sample_ms - record.smoothed_ms);
  ++record.samples;
  record.sampled_at = time_source_.monotonicTime();
}

void ResponseTimes::compare(const ConfigurationView& configuration) {
  slow_shares_.clear();
  std::unordered_map<ServiceId, std::vector<KnownTime>> times_by_service;
  for (const auto& [id, record] : records_) {
    const Backend* backend = isKnown(record) ? configuration.backend(id) : nullptr;
    if (backend != nullptr && !backend->retired) {
      times_by_service[backend->service].push_back({id, record.smoothed_ms});
    }
  }
  for (auto& [service, times] : times_by_service) {
    compareService(times);
  }
}

void ResponseTimes::compareService(std::vector<KnownTime>& times) {
  if (times.size() < settings_.back_ends_needed) {
    return;
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end(),
                   [](const KnownTime& left, const KnownTime& right) {
                     return left.smoothed_ms < right.smoothed_ms;
                   });
  const double median_ms = middle->smoothed_ms;
  for (const KnownTime& time : times) {
    if (time.smoothed_ms > settings_.slow_from * median_ms) {
      slow_shares_[time.backend] = std::max(settings_.smallest_share, median_ms / time.smoothed_ms);
    }
  }
}

double ResponseTimes::shareOf(BackendId backend) const {
  const auto found = slow_shares_.find(backend);
  return found == slow_shares_.end() ? 1 : found->second;
}

void ResponseTimes::remove(BackendId backend) {
  records_.erase(backend);
  slow_shares_.erase(backend);
}

void ResponseTimes::retain(const ConfigurationView& configuration) {
  const auto is_gone = [&](const auto& entry) {
    return configuration.backend(entry.first) == nullptr;
  };
  std::erase_if(records_, is_gone);
  std::erase_if(slow_shares_, is_gone);
}

bool ResponseTimes::isKnown(const Record& record) const {
  return record.samples >= settings_.samples_needed &&
         time_source_.monotonicTime() - record.sampled_at <= settings_.lifetime;
}

}  // namespace lugfork
