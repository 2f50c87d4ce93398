#include "flow/requests_in_flight.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Requests tracked for each backend; more make no difference. */
constexpr std::size_t kMaxRequests = 64;

}  // namespace

void RequestsInFlight::begin(BackendId backend, const FlowId& flow, Duration ttl) {
  const MonotonicTime now = time_source_.monotonicTime();
  std::vector<Request>& requests = requests_[backend];
  std::erase_if(requests, [&](const Request& request) {
    return request.flow == flow || request.counts_until <= now;
  });
  if (requests.size() < kMaxRequests) {
    requests.push_back({flow, now + ttl});
  }
}

void RequestsInFlight::end(BackendId backend, const FlowId& flow) {
  const auto found = requests_.find(backend);
  if (found == requests_.end()) {
    return;
  }
  std::erase_if(found->second, [&](const Request& request) { return request.flow == flow; });
  if (found->second.empty()) {
    requests_.erase(found);
  }
}

std::size_t RequestsInFlight::count(BackendId backend, MonotonicTime now) const {
  const auto found = requests_.find(backend);
  if (found == requests_.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(),
                    [&](const Request& request) { return request.counts_until > now; }));
}

void RequestsInFlight::retain(const ConfigurationView& configuration) {
  std::erase_if(requests_,
                [&](const auto& entry) { return configuration.backend(entry.first) == nullptr; });
}

}  // namespace lugfork
