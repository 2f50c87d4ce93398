#include "flow/silence_detector.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Silent flows tracked for each backend; more make no difference. */
constexpr std::size_t kMaxSilentFlows = 8;
/** Interval at which the backends in use are recounted; a service may have thousands. */
constexpr Duration kInUseRecountInterval = milliseconds(500);
/** More doublings exceed any configured bound. */
constexpr std::size_t kMaxDoublings = 10;

}  // namespace

void SilenceDetector::onOpening(BackendId backend) {
  Record& record = recordOf(backend);
  const MonotonicTime now = time_source_.monotonicTime();
  const bool first = record.opening_at == MonotonicTime() || record.opening_at <= behind_at_;
  if (!first && now - record.opening_at > settings_.handshake_timeout) {
    logTransition(backend, record, "opening_unanswered");
  }
  if (first || now - record.opening_at > settings_.suspicion_ttl) {
    record.opening_at = now;
  }
  recordAttempt(record);
}

void SilenceDetector::recordAttempt(Record& record) const {
  if (record.first_attempt_at <= behind_at_) {
    record.first_attempt_at = time_source_.monotonicTime();
  }
}

void SilenceDetector::onOpeningRetransmitted(BackendId backend, const FlowId& flow) {
  recordSilentFlow(backend, flow, 0);
}

void SilenceDetector::onProgress(BackendId backend, std::uint16_t retransmissions) {
  const MonotonicTime now = time_source_.monotonicTime();
  Record& record = recordOf(backend);
  if (record.suspicion_logged) {
    log_.write(
        LogLevel::Info, "flow", "backend_shows_life",
        {{"backend_id", backend.value()}, {"silent_ms", toMilliseconds(now - record.progress_at)}});
  }
  const bool was_silent = isSilent(record);
  const ServiceId service = record.service;
  Failures failures = record.failures;
  if (was_silent && now - record.first_attempt_at >= settings_.min_failure_duration &&
      !isUnderPressure(service)) {
    recordFailure(failures);
  }
  record = Record();
  record.service = service;
  record.failures = failures;
  record.progress_at = now;
  record.has_progressed = true;
  if (was_silent) {
    recordFalseSuspicion(backend, service);
  }
  const bool expired = now - survived_at_ > settings_.slow_answer_ttl;
  if (retransmissions > 0 && (expired || retransmissions >= survived_retransmissions_)) {
    survived_retransmissions_ = retransmissions;
    survived_at_ = now;
  }
}

std::uint16_t SilenceDetector::survivedRetransmissions() const {
  const bool is_current = time_source_.monotonicTime() - survived_at_ <= settings_.slow_answer_ttl;
  return is_current ? survived_retransmissions_ : std::uint16_t{0};
}

std::uint16_t SilenceDetector::retransmissionsToDeclareDead() const {
  return std::max<std::uint16_t>(settings_.min_retransmissions, survivedRetransmissions() + 1);
}

void SilenceDetector::onRetransmission(BackendId backend, const FlowId& flow,
                                       std::uint16_t retransmissions) {
  recordSilentFlow(backend, flow, retransmissions);
}

bool SilenceDetector::isSuspect(BackendId backend) const {
  const Record* record = find(backend);
  if (record == nullptr) {
    return false;
  }
  const bool is_excluded = time_source_.monotonicTime() < record->failures.excluded_until;
  if (!is_excluded && !isSilent(*record)) {
    return false;
  }
  return !isUnderPressure(record->service) || isSilentForLong(*record);
}

bool SilenceDetector::isSilentForLong(const Record& record) const {
  const std::size_t attempts = currentSilentFlows(record) + (hasUnansweredOpening(record) ? 1 : 0);
  return attempts >= settings_.min_attempts_under_pressure &&
         time_source_.monotonicTime() - silentSince(record) >= settings_.min_silence;
}

bool SilenceDetector::isUnderPressure(ServiceId service) const {
  if (pressure_ != nullptr && pressure_->isUnderPressure(service)) {
    return true;
  }
  const auto in_use = in_use_.find(service);
  return in_use != in_use_.end() &&
         false_suspicions_.exceedThreshold(service, in_use->second.backends);
}

void SilenceDetector::recordFalseSuspicion(BackendId backend, ServiceId service) {
  const MonotonicTime now = time_source_.monotonicTime();
  false_suspicions_.add(service, backend);
  InUse& in_use = in_use_[service];
  if (in_use.counted_at != MonotonicTime() && now - in_use.counted_at < kInUseRecountInterval) {
    return;
  }
  const MonotonicTime earliest = now - settings_.false_suspicions.window;
  in_use.counted_at = now;
  in_use.backends = static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
        const Record& record = entry.second;
        return record.service == service && (record.progress_at >= earliest || isSilent(record));
      }));
}

void SilenceDetector::recordFailure(Failures& failures) const {
  const MonotonicTime now = time_source_.monotonicTime();
  if (now - failures.last_at > settings_.flapping_window) {
    failures = Failures();
  }
  ++failures.count;
  failures.last_at = now;
  if (failures.count < settings_.min_flapping_failures) {
    return;
  }
  const std::size_t doublings =
      std::min(kMaxDoublings, failures.count - settings_.min_flapping_failures);
  const Duration time = settings_.readmission_delay * (std::int64_t{1} << doublings);
  failures.excluded_until = now + std::min(settings_.max_readmission_delay, time);
}

bool SilenceDetector::hasUnansweredOpening(const Record& record) const {
  const Duration opening_age = time_source_.monotonicTime() - record.opening_at;
  return record.opening_at > behind_at_ && opening_age > settings_.handshake_timeout &&
         opening_age <= settings_.suspicion_ttl;
}

bool SilenceDetector::isSilent(const Record& record) const {
  const Duration retransmission_age = time_source_.monotonicTime() - record.retransmitted_at;
  const bool recently_retransmitted =
      record.retransmitted_at > behind_at_ && retransmission_age <= settings_.suspicion_ttl;
  return recently_retransmitted || hasUnansweredOpening(record);
}

std::vector<SilenceObservation> SilenceDetector::observations() const {
  std::vector<SilenceObservation> observations;
  for (const auto& [backend, record] : records_) {
    if (!isSilent(record) || (isUnderPressure(record.service) && !isSilentForLong(record))) {
      continue;
    }
    SilenceObservation& observation = observations.emplace_back();
    observation.backend = backend;
    observation.last_progress_at = record.has_progressed ? record.progress_at : MonotonicTime();
    observation.last_attempt_at =
        hasUnansweredOpening(record) ? record.opening_at : MonotonicTime();
    for (const SilentFlow& silent : record.silent_flows) {
      if (isCurrent(silent)) {
        ++observation.flows;
        observation.retransmissions = std::max(observation.retransmissions, silent.retransmissions);
        observation.last_attempt_at =
            std::max(observation.last_attempt_at, silent.retransmitted_at);
      }
    }
  }
  return observations;
}

MonotonicTime SilenceDetector::lastProgressAt(BackendId backend) const {
  const Record* record = find(backend);
  return record != nullptr && record->has_progressed ? record->progress_at : MonotonicTime();
}

std::vector<BackendId> SilenceDetector::usedWithin(Duration time) const {
  const MonotonicTime earliest = time_source_.monotonicTime() - time;
  std::vector<BackendId> used;
  for (const auto& [backend, record] : records_) {
    if (record.progress_at >= earliest || isSilent(record)) {
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
  return looksDead(record) && !isUnderPressure(record.service) && enoughOthersAnswer(record) &&
         !isSilenceWidespread();
}

bool SilenceDetector::enoughOthersAnswer(const Record& record) const {
  const MonotonicTime earliest = time_source_.monotonicTime() - settings_.retransmission_window;
  std::size_t answering = 0;
  for (const auto& [id, other] : records_) {
    const bool answers = other.has_progressed && other.progress_at >= earliest;
    answering += &other != &record && other.service == record.service && answers ? 1 : 0;
  }
  return answering >= settings_.min_answering_backends;
}

bool SilenceDetector::isSilenceWidespread() const {
  const MonotonicTime earliest = time_source_.monotonicTime() - settings_.retransmission_window;
  std::size_t silent = 0;
  std::size_t in_use = 0;
  for (const auto& [id, record] : records_) {
    const bool retransmitted =
        record.retransmitted_at > behind_at_ && record.retransmitted_at >= earliest;
    silent += retransmitted ? 1 : 0;
    in_use += retransmitted || record.progress_at >= earliest ? 1 : 0;
  }
  return static_cast<double>(silent) > settings_.max_silent_fraction * static_cast<double>(in_use);
}

Duration SilenceDetector::silentFor(BackendId backend) const {
  const Record* record = find(backend);
  return record == nullptr ? Duration::zero() : time_source_.monotonicTime() - record->progress_at;
}

void SilenceDetector::retain(const ConfigurationView& configuration) {
  std::erase_if(records_,
                [&](const auto& entry) { return configuration.backend(entry.first) == nullptr; });
}

SilenceDetector::Record& SilenceDetector::recordOf(BackendId backend) {
  const auto [entry, is_new] = records_.try_emplace(backend);
  if (is_new) {
    entry->second.progress_at = time_source_.monotonicTime();
    entry->second.service = service_lookup_ ? service_lookup_(backend) : ServiceId();
  }
  return entry->second;
}

const SilenceDetector::Record* SilenceDetector::find(BackendId backend) const {
  const auto found = records_.find(backend);
  return found == records_.end() ? nullptr : &found->second;
}

void SilenceDetector::recordSilentFlow(BackendId backend, const FlowId& flow,
                                       std::uint16_t retransmissions) {
  Record& record = recordOf(backend);
  const MonotonicTime now = time_source_.monotonicTime();
  record.retransmitted_at = now;
  recordAttempt(record);
  std::vector<SilentFlow>& flows = record.silent_flows;
  std::erase_if(flows,
                [&](const SilentFlow& other) { return other.flow == flow || !isCurrent(other); });
  if (flows.size() < kMaxSilentFlows) {
    flows.push_back({flow, now, retransmissions});
  }
  logTransition(backend, record, "repetition");
}

void SilenceDetector::logTransition(BackendId backend, Record& record, std::string_view cause) {
  const bool is_dead = isDead(record);
  if ((record.suspicion_logged && !is_dead) || record.death_logged) {
    return;
  }
  record.suspicion_logged = true;
  record.death_logged = is_dead;
  log_.write(LogLevel::Info, "flow", is_dead ? "backend_believed_dead" : "backend_suspected",
             {{"backend_id", backend.value()},
              {"cause", std::string(cause)},
              {"silent_ms", toMilliseconds(time_source_.monotonicTime() - record.progress_at)},
              {"silent_flows", static_cast<std::uint64_t>(record.silent_flows.size())},
              {"repetitions_needed", static_cast<std::uint32_t>(retransmissionsToDeclareDead())}});
}

bool SilenceDetector::looksDead(const Record& record) const {
  std::uint16_t max_retransmissions = 0;
  for (const SilentFlow& silent : record.silent_flows) {
    max_retransmissions = std::max(max_retransmissions,
                                   isCurrent(silent) ? silent.retransmissions : std::uint16_t{0});
  }
  return currentSilentFlows(record) >= settings_.min_silent_flows &&
         max_retransmissions >= retransmissionsToDeclareDead() &&
         time_source_.monotonicTime() - silentSince(record) >= settings_.min_silence;
}

bool SilenceDetector::isCurrent(const SilentFlow& silent) const {
  return silent.retransmitted_at > behind_at_ &&
         time_source_.monotonicTime() - silent.retransmitted_at <= settings_.retransmission_window;
}

std::size_t SilenceDetector::currentSilentFlows(const Record& record) const {
  return static_cast<std::size_t>(
      std::count_if(record.silent_flows.begin(), record.silent_flows.end(),
                    [this](const SilentFlow& silent) { return isCurrent(silent); }));
}

}  // namespace lugfork
