#include "flow/silence_detector.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Silent flows that are told apart for one back end; more make no difference. */
constexpr std::size_t kMaxSilentFlows = 8;
/** Back ends in use are counted again after this long: a service may have thousands. */
constexpr Duration kCountAgain = milliseconds(500);
/** More doublings than these reach any bound. */
constexpr std::size_t kMostDoublings = 10;

}  // namespace

void SilenceDetector::onOpening(BackendId backend) {
  Record& record = recordOf(backend);
  const MonotonicTime now = time_source_.monotonicTime();
  const bool first = record.opening_at == MonotonicTime() || record.opening_at <= behind_at_;
  if (!first && now - record.opening_at > settings_.handshake_timeout) {
    tellBelief(backend, record, "opening_unanswered");
  }
  if (first || now - record.opening_at > settings_.suspicion) {
    record.opening_at = now;
  }
  noteAttempt(record);
}

void SilenceDetector::noteAttempt(Record& record) const {
  if (record.attempt_at <= behind_at_) {
    record.attempt_at = time_source_.monotonicTime();
  }
}

void SilenceDetector::onOpeningRepeated(BackendId backend, const FlowId& flow) {
  noteSilentFlow(backend, flow, 0);
}

void SilenceDetector::onLife(BackendId backend, std::uint16_t repetitions) {
  const MonotonicTime now = time_source_.monotonicTime();
  Record& record = recordOf(backend);
  if (record.suspicion_told) {
    log_.write(
        LogLevel::Info, "flow", "backend_shows_life",
        {{"backend_id", backend.value()}, {"silent_ms", toMilliseconds(now - record.life_at)}});
  }
  const bool was_silent = isSilent(record);
  const ServiceId service = record.service;
  Failures failures = record.failures;
  if (was_silent && now - record.attempt_at >= settings_.failure_after &&
      !isUnderPressure(service)) {
    noteFailure(failures);
  }
  record = Record();
  record.service = service;
  record.failures = failures;
  record.life_at = now;
  record.has_shown_life = true;
  if (was_silent) {
    noteFalseSuspicion(backend, service);
  }
  const bool forgotten = now - survived_at_ > settings_.slow_memory;
  if (repetitions > 0 && (forgotten || repetitions >= survived_repetitions_)) {
    survived_repetitions_ = repetitions;
    survived_at_ = now;
  }
}

std::uint16_t SilenceDetector::survivedRepetitions() const {
  const bool remembered = time_source_.monotonicTime() - survived_at_ <= settings_.slow_memory;
  return remembered ? survived_repetitions_ : std::uint16_t{0};
}

std::uint16_t SilenceDetector::repetitionsOfDead() const {
  return std::max<std::uint16_t>(settings_.repetitions_of_dead, survivedRepetitions() + 1);
}

void SilenceDetector::onRepetition(BackendId backend, const FlowId& flow,
                                   std::uint16_t repetitions) {
  noteSilentFlow(backend, flow, repetitions);
}

bool SilenceDetector::isSuspect(BackendId backend) const {
  const Record* record = find(backend);
  if (record == nullptr) {
    return false;
  }
  const bool is_distrusted = time_source_.monotonicTime() < record->failures.distrusted_until;
  if (!is_distrusted && !isSilent(*record)) {
    return false;
  }
  return !isUnderPressure(record->service) || isSilentForLong(*record);
}

bool SilenceDetector::isSilentForLong(const Record& record) const {
  const std::size_t attempts = countedFlows(record) + (hasUnansweredOpening(record) ? 1 : 0);
  return attempts >= settings_.attempts_under_pressure &&
         time_source_.monotonicTime() - silentSince(record) >= settings_.dead_after;
}

bool SilenceDetector::isUnderPressure(ServiceId service) const {
  if (pressure_ != nullptr && pressure_->isUnderPressure(service)) {
    return true;
  }
  const auto in_use = in_use_.find(service);
  return in_use != in_use_.end() && false_suspicions_.areMany(service, in_use->second.backends);
}

void SilenceDetector::noteFalseSuspicion(BackendId backend, ServiceId service) {
  const MonotonicTime now = time_source_.monotonicTime();
  false_suspicions_.add(service, backend);
  InUse& in_use = in_use_[service];
  if (in_use.counted_at != MonotonicTime() && now - in_use.counted_at < kCountAgain) {
    return;
  }
  const MonotonicTime earliest = now - settings_.false_suspicions.memory;
  in_use.counted_at = now;
  in_use.backends = static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
        const Record& record = entry.second;
        return record.service == service && (record.life_at >= earliest || isSilent(record));
      }));
}

void SilenceDetector::noteFailure(Failures& failures) const {
  const MonotonicTime now = time_source_.monotonicTime();
  if (now - failures.last_at > settings_.relapse_memory) {
    failures = Failures();
  }
  ++failures.count;
  failures.last_at = now;
  if (failures.count < settings_.relapses_to_distrust) {
    return;
  }
  const std::size_t doublings =
      std::min(kMostDoublings, failures.count - settings_.relapses_to_distrust);
  const Duration time = settings_.distrust * (std::int64_t{1} << doublings);
  failures.distrusted_until = now + std::min(settings_.max_distrust, time);
}

bool SilenceDetector::hasUnansweredOpening(const Record& record) const {
  const Duration opening_age = time_source_.monotonicTime() - record.opening_at;
  return record.opening_at > behind_at_ && opening_age > settings_.handshake_timeout &&
         opening_age <= settings_.suspicion;
}

bool SilenceDetector::isSilent(const Record& record) const {
  const Duration repetition_age = time_source_.monotonicTime() - record.repeated_at;
  const bool repeated_lately =
      record.repeated_at > behind_at_ && repetition_age <= settings_.suspicion;
  return repeated_lately || hasUnansweredOpening(record);
}

std::vector<SilenceObservation> SilenceDetector::observations() const {
  std::vector<SilenceObservation> observations;
  for (const auto& [backend, record] : records_) {
    if (!isSilent(record) || (isUnderPressure(record.service) && !isSilentForLong(record))) {
      continue;
    }
    SilenceObservation& seen = observations.emplace_back();
    seen.backend = backend;
    seen.life_at = record.has_shown_life ? record.life_at : MonotonicTime();
    seen.attempt_at = hasUnansweredOpening(record) ? record.opening_at : MonotonicTime();
    for (const SilentFlow& silent : record.silent_flows) {
      if (counts(silent)) {
        ++seen.flows;
        seen.repetitions = std::max(seen.repetitions, silent.repetitions);
        seen.attempt_at = std::max(seen.attempt_at, silent.repeated_at);
      }
    }
  }
  return observations;
}

MonotonicTime SilenceDetector::lifeAt(BackendId backend) const {
  const Record* record = find(backend);
  return record != nullptr && record->has_shown_life ? record->life_at : MonotonicTime();
}

std::vector<BackendId> SilenceDetector::usedWithin(Duration time) const {
  const MonotonicTime earliest = time_source_.monotonicTime() - time;
  std::vector<BackendId> used;
  for (const auto& [backend, record] : records_) {
    if (record.life_at >= earliest || isSilent(record)) {
      used.push_back(backend);
    }
  }
  return used;
}

bool SilenceDetector::isDead(BackendId backend) const {
  const Record* record = find(backend);
  return record != nullptr && isDead(*record);
}

bool SilenceDetector::isDead(const Record& record) const {
  return looksDead(record) && !isUnderPressure(record.service) && othersAnswer(record) &&
         !manyLookSilent();
}

bool SilenceDetector::othersAnswer(const Record& record) const {
  const MonotonicTime earliest = time_source_.monotonicTime() - settings_.memory;
  std::size_t answering = 0;
  for (const auto& [id, other] : records_) {
    const bool answers = other.has_shown_life && other.life_at >= earliest;
    answering += &other != &record && other.service == record.service && answers ? 1 : 0;
  }
  return answering >= settings_.answering_of_service;
}

bool SilenceDetector::manyLookSilent() const {
  const MonotonicTime earliest = time_source_.monotonicTime() - settings_.memory;
  std::size_t silent = 0;
  std::size_t in_use = 0;
  for (const auto& [id, record] : records_) {
    const bool repeated = record.repeated_at > behind_at_ && record.repeated_at >= earliest;
    silent += repeated ? 1 : 0;
    in_use += repeated || record.life_at >= earliest ? 1 : 0;
  }
  return static_cast<double>(silent) > settings_.max_silent_share * static_cast<double>(in_use);
}

Duration SilenceDetector::silentFor(BackendId backend) const {
  const Record* record = find(backend);
  return record == nullptr ? Duration::zero() : time_source_.monotonicTime() - record->life_at;
}

void SilenceDetector::retain(const ConfigurationView& configuration) {
  std::erase_if(records_,
                [&](const auto& entry) { return configuration.backend(entry.first) == nullptr; });
}

SilenceDetector::Record& SilenceDetector::recordOf(BackendId backend) {
  const auto [entry, is_new] = records_.try_emplace(backend);
  if (is_new) {
    entry->second.life_at = time_source_.monotonicTime();
    entry->second.service = service_of_ ? service_of_(backend) : ServiceId();
  }
  return entry->second;
}

const SilenceDetector::Record* SilenceDetector::find(BackendId backend) const {
  const auto found = records_.find(backend);
  return found == records_.end() ? nullptr : &found->second;
}

void SilenceDetector::noteSilentFlow(BackendId backend, const FlowId& flow,
                                     std::uint16_t repetitions) {
  Record& record = recordOf(backend);
  const MonotonicTime now = time_source_.monotonicTime();
  record.repeated_at = now;
  noteAttempt(record);
  std::vector<SilentFlow>& flows = record.silent_flows;
  std::erase_if(flows,
                [&](const SilentFlow& other) { return other.flow == flow || !counts(other); });
  if (flows.size() < kMaxSilentFlows) {
    flows.push_back({flow, now, repetitions});
  }
  tellBelief(backend, record, "repetition");
}

void SilenceDetector::tellBelief(BackendId backend, Record& record, std::string_view cause) {
  const bool is_dead = isDead(record);
  if ((record.suspicion_told && !is_dead) || record.death_told) {
    return;
  }
  record.suspicion_told = true;
  record.death_told = is_dead;
  log_.write(LogLevel::Info, "flow", is_dead ? "backend_believed_dead" : "backend_suspected",
             {{"backend_id", backend.value()},
              {"cause", std::string(cause)},
              {"silent_ms", toMilliseconds(time_source_.monotonicTime() - record.life_at)},
              {"silent_flows", static_cast<std::uint64_t>(record.silent_flows.size())},
              {"repetitions_needed", static_cast<std::uint32_t>(repetitionsOfDead())}});
}

bool SilenceDetector::looksDead(const Record& record) const {
  std::uint16_t most_repetitions = 0;
  for (const SilentFlow& silent : record.silent_flows) {
    most_repetitions =
        std::max(most_repetitions, counts(silent) ? silent.repetitions : std::uint16_t{0});
  }
  return countedFlows(record) >= settings_.flows_of_dead &&
         most_repetitions >= repetitionsOfDead() &&
         time_source_.monotonicTime() - silentSince(record) >= settings_.dead_after;
}

bool SilenceDetector::counts(const SilentFlow& silent) const {
  return silent.repeated_at > behind_at_ &&
         time_source_.monotonicTime() - silent.repeated_at <= settings_.memory;
}

std::size_t SilenceDetector::countedFlows(const Record& record) const {
  return static_cast<std::size_t>(
      std::count_if(record.silent_flows.begin(), record.silent_flows.end(),
                    [this](const SilentFlow& silent) { return counts(silent); }));
}

}  // namespace lugfork
