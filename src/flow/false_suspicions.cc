#include "flow/false_suspicions.h"

namespace lugfork {

void FalseSuspicions::add(ServiceId service, BackendId backend) {
  const MonotonicTime now = time_source_.monotonicTime();
  Answers& answers = answers_[service];
  forgetOld(answers);
  answers.last[backend] = now;
  answers.in_order.emplace_back(now, backend);
}

std::size_t FalseSuspicions::count(ServiceId service) const {
  const auto found = answers_.find(service);
  if (found == answers_.end()) {
    return 0;
  }
  forgetOld(found->second);
  return found->second.last.size();
}

void FalseSuspicions::forgetOld(Answers& answers) const {
  const MonotonicTime earliest = time_source_.monotonicTime() - settings_.memory;
  while (!answers.in_order.empty() && answers.in_order.front().first < earliest) {
    const auto [answered_at, backend] = answers.in_order.front();
    answers.in_order.pop_front();
    const auto last = answers.last.find(backend);
    if (last != answers.last.end() && last->second == answered_at) {
      answers.last.erase(last);
    }
  }
}

bool FalseSuspicions::areMany(ServiceId service, std::size_t in_use) const {
  const std::size_t answered = count(service);
  return answered >= settings_.least &&
         static_cast<double>(answered) >= settings_.share * static_cast<double>(in_use);
}

}  // namespace lugfork
