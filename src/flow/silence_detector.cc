#include "flow/silence_detector.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Silent flows that are told apart for one back end; more make no difference. */
constexpr std::size_t kMaxSilentFlows = 8;

}  // namespace

void SilenceDetector::onOpening(BackendId backend) {
  Record& record = recordOf(backend);
  const MonotonicTime now = time_source_.monotonicTime();
  const bool first = record.opening_at == MonotonicTime();
  if (!first && now - record.opening_at > settings_.handshake_timeout) {
    tellBelief(backend, record, "opening_unanswered");
  }
  if (first || now - record.opening_at > settings_.suspicion) {
    record.opening_at = now;
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
  record = Record();
  record.life_at = now;
  record.has_shown_life = true;
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
  return record != nullptr && isSilent(*record);
}

bool SilenceDetector::hasUnansweredOpening(const Record& record) const {
  const Duration opening_age = time_source_.monotonicTime() - record.opening_at;
  return record.opening_at != MonotonicTime() && opening_age > settings_.handshake_timeout &&
         opening_age <= settings_.suspicion;
}

bool SilenceDetector::isSilent(const Record& record) const {
  const Duration repetition_age = time_source_.monotonicTime() - record.repeated_at;
  const bool repeated_lately =
      record.repeated_at != MonotonicTime() && repetition_age <= settings_.suspicion;
  return repeated_lately || hasUnansweredOpening(record);
}

std::vector<SilenceObservation> SilenceDetector::observations() const {
  const MonotonicTime earliest = time_source_.monotonicTime() - settings_.memory;
  std::vector<SilenceObservation> observations;
  for (const auto& [backend, record] : records_) {
    if (!isSilent(record)) {
      continue;
    }
    SilenceObservation& seen = observations.emplace_back();
    seen.backend = backend;
    seen.life_at = record.has_shown_life ? record.life_at : MonotonicTime();
    seen.attempt_at = hasUnansweredOpening(record) ? record.opening_at : MonotonicTime();
    for (const SilentFlow& silent : record.silent_flows) {
      if (silent.repeated_at >= earliest) {
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
  if (record == nullptr || !looksDead(*record)) {
    return false;
  }
  return !manyLookSilent();
}

bool SilenceDetector::manyLookSilent() const {
  const MonotonicTime earliest = time_source_.monotonicTime() - settings_.memory;
  std::size_t silent = 0;
  std::size_t in_use = 0;
  for (const auto& [id, record] : records_) {
    const bool repeated = record.repeated_at != MonotonicTime() && record.repeated_at >= earliest;
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
  std::vector<SilentFlow>& flows = record.silent_flows;
  std::erase_if(flows, [&](const SilentFlow& other) {
    return other.flow == flow || now - other.repeated_at > settings_.memory;
  });
  if (flows.size() < kMaxSilentFlows) {
    flows.push_back({flow, now, repetitions});
  }
  tellBelief(backend, record, "repetition");
}

void SilenceDetector::tellBelief(BackendId backend, Record& record, std::string_view cause) {
  const bool is_dead = looksDead(record);
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
  const MonotonicTime now = time_source_.monotonicTime();
  std::size_t flows = 0;
  std::uint16_t most_repetitions = 0;
  for (const SilentFlow& silent : record.silent_flows) {
    const bool counts = now - silent.repeated_at <= settings_.memory;
    flows += counts ? 1 : 0;
    most_repetitions = std::max(most_repetitions, counts ? silent.repetitions : std::uint16_t{0});
  }
  return flows >= settings_.flows_of_dead && most_repetitions >= repetitionsOfDead() &&
         now - record.life_at >= settings_.dead_after;
}

}  // namespace lugfork
