#include "flow/false_suspicions.h"

namespace lugfork {

void FalseSuspicions::add(ServiceId service, BackendId backend) {
  const MonotonicTime now = time_source_.monotonicTime();
  Answers& answers = answers_[service];
  removeExpired(answers);
  answers.last[backend] = now;
  answers.by_time.emplace_back(now, backend);
}

std::size_t FalseSuspicions::count(ServiceId service) const {
  const auto found = answers_.find(service);
  if (found == answers_.end()) {
    return 0;
  }
  removeExpired(found->second);
  return found->second.last.size();
}

void FalseSuspicions::removeExpired(Answers& answers) const {
  const MonotonicTime earliest = time_source_.monotonicTime() - settings_.window;
  while (!answers.by_time.empty() && answers.by_time.front().first < earliest) {
    const auto [answered_at, backend] = answers.by_time.front();
    answers.by_time.pop_front();
    const auto last = answers.last.find(backend);
    if (last != answers.last.end() && last->second == answered_at) {
      answers.last.erase(last);
    }
  }
}

bool FalseSuspicions::exceedThreshold(ServiceId service, std::size_t in_use) const {
  const std::size_t answered = count(service);
  return answered >= settings_.min_backends &&
         static_cast<double>(answered) >= settings_.min_fraction * static_cast<double>(in_use);
}

}  // namespace lugfork
