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
  for (const Service& service : configuration.document().services) {
    compareService(configuration.backendsOf(service.id));
  }
}

void ResponseTimes::compareService(const std::vector<const Backend*>& back_ends) {
  std::vector<double> times_ms;
  for (const Backend* backend : back_ends) {
    const auto found = records_.find(backend->id);
    if (found != records_.end()) {
      found->second.share = 1;
      if (isKnown(found->second)) {
        times_ms.push_back(found->second.smoothed_ms);
      }
    }
  }
  if (times_ms.size() < settings_.back_ends_needed) {
    return;
  }
  const auto middle = times_ms.begin() + static_cast<std::ptrdiff_t>(times_ms.size() / 2);
  std::nth_element(times_ms.begin(), middle, times_ms.end());
  for (const Backend* backend : back_ends) {
    const auto found = records_.find(backend->id);
    const bool is_slow = found != records_.end() && isKnown(found->second) &&
                         found->second.smoothed_ms > settings_.slow_from * *middle;
    if (is_slow) {
      found->second.share = std::max(settings_.smallest_share, *middle / found->second.smoothed_ms);
    }
  }
}

double ResponseTimes::shareOf(BackendId backend) const {
  const auto found = records_.find(backend);
  return found == records_.end() ? 1 : found->second.share;
}

void ResponseTimes::retain(const ConfigurationView& configuration) {
  std::erase_if(records_,
                [&](const auto& entry) { return configuration.backend(entry.first) == nullptr; });
}

bool ResponseTimes::isKnown(const Record& record) const {
  return record.samples >= settings_.samples_needed &&
         time_source_.monotonicTime() - record.sampled_at <= settings_.lifetime;
}

}  // namespace lugfork
