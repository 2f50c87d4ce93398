#include "flow/evidence_reporter.h"

#include <algorithm>

namespace lugfork {

namespace {

/** More flows and repetitions of one server make no difference, and this fits into a byte. */
constexpr std::size_t kMostCounted = 200;
/** Time after which it is forgotten that a sign of life was reported, to bound the memory. */
constexpr Duration kLifeReportedFor = seconds(10);

}  // namespace

EvidenceReporter::EvidenceReporter(EvidenceReporterSettings settings, std::string zone,
                                   const SilenceDetector& own, const SharedEvidence& shared,
                                   const TimeSource& time_source)
    : settings_(settings),
      zone_(std::move(zone)),
      own_(own),
      shared_(shared),
      time_source_(time_source) {}

void EvidenceReporter::setConfiguration(const ConfigurationView& configuration) {
  const Zone* zone = configuration.zoneNamed(zone_);
  zone_id_ = zone == nullptr ? std::nullopt : std::optional<ZoneId>(zone->id);
}

std::optional<EvidenceReport> EvidenceReporter::next() {
  EvidenceReport report;
  addAlive(report);
  addAliveZones(report);
  addSilent(report);
  if (report.silent.empty() && report.alive.empty()) {
    return std::nullopt;
  }
  report.zone = zone_;
  report.survived_retransmissions =
      static_cast<std::uint8_t>(std::min<std::size_t>(own_.survivedRepetitions(), kMostCounted));
  addUse(report);
  return report;
}

bool EvidenceReporter::isNew(const SilenceObservation& seen) const {
  const auto found = reported_.find(seen.backend);
  if (found == reported_.end()) {
    return true;
  }
  const SilenceObservation& told = found->second;
  return seen.flows > told.flows || seen.repetitions > told.repetitions ||
         seen.attempt_at - told.attempt_at >= settings_.repeat_after;
}

void EvidenceReporter::addSilent(EvidenceReport& report) {
  const MonotonicTime now = time_source_.monotonicTime();
  const std::vector<SilenceObservation> observations = own_.observations();
  std::unordered_map<BackendId, SilenceObservation> reported;
  for (const SilenceObservation& seen : observations) {
    const bool is_told = isNew(seen) && report.silent.size() < kMaxBackendsInEvidence;
    if (is_told) {
      report.silent.push_back(
          {seen.backend, static_cast<std::uint8_t>(std::min(seen.flows, kMostCounted)),
           static_cast<std::uint8_t>(std::min<std::size_t>(seen.repetitions, kMostCounted)),
           toWireAge(now, seen.attempt_at), toWireAge(now, seen.life_at)});
      reported[seen.backend] = seen;
    } else if (const auto before = reported_.find(seen.backend); before != reported_.end()) {
      reported[seen.backend] = before->second;
    }
  }
  for (const auto& [backend, told] : reported_) {
    const MonotonicTime life_at = own_.lifeAt(backend);
    if (life_at > told.attempt_at) {
      addLife(report, backend, life_at);
    }
  }
  reported_ = std::move(reported);
}

void EvidenceReporter::addAlive(EvidenceReport& report) {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(life_reported_,
                [&](const auto& entry) { return now - entry.second > kLifeReportedFor; });
  for (const auto& [backend, told] : shared_.told()) {
    const MonotonicTime life_at = own_.lifeAt(backend);
    if (life_at > told.attempt_at) {
      addLife(report, backend, life_at);
    }
  }
}

void EvidenceReporter::addAliveZones(EvidenceReport& report) {
  const MonotonicTime now = time_source_.monotonicTime();
  for (const ZoneId zone : shared_.zonesInDoubt()) {
    const MonotonicTime objected_at = std::max(objected_at_[zone], shared_.objectedAt(zone));
    const bool is_full = report.alive.size() >= kMaxBackendsInEvidence;
    if (is_full || now - objected_at < settings_.objection_gap) {
      continue;
    }
    const BackendId answering = lastToAnswer(zone);
    if (answering != BackendId()) {
      objected_at_[zone] = now;
      report.alive.push_back({answering, toWireAge(now, own_.lifeAt(answering))});
    }
  }
}

BackendId EvidenceReporter::lastToAnswer(ZoneId zone) const {
  BackendId last;
  MonotonicTime last_at = time_source_.monotonicTime() - settings_.life_gap;
  for (const BackendId backend : own_.usedWithin(settings_.life_gap)) {
    const MonotonicTime life_at = own_.lifeAt(backend);
    if (shared_.zoneOf(backend) == zone && life_at >= last_at) {
      last = backend;
      last_at = life_at;
    }
  }
  return last;
}

void EvidenceReporter::addLife(EvidenceReport& report, BackendId backend, MonotonicTime life_at) {
  const auto told = life_reported_.find(backend);
  const bool is_new = told == life_reported_.end() || life_at - told->second > settings_.life_gap;
  if (is_new && report.alive.size() < kMaxBackendsInEvidence) {
    life_reported_[backend] = life_at;
    report.alive.push_back({backend, toWireAge(time_source_.monotonicTime(), life_at)});
  }
}

void EvidenceReporter::addUse(EvidenceReport& report) const {
  std::uint16_t in_use = 0;
  std::uint16_t silent = 0;
  for (const BackendId backend : own_.usedWithin(settings_.in_use_for)) {
    const bool is_silent = own_.isSuspect(backend);
    const bool is_near = zone_id_ && shared_.zoneOf(backend) == *zone_id_;
    report.backends_in_use += is_near ? 1 : 0;
    report.silent_backends += is_near && is_silent ? 1 : 0;
    ++in_use;
    silent += is_silent ? 1 : 0;
  }
  if (report.backends_in_use == 0) {
    report.backends_in_use = in_use;
    report.silent_backends = silent;
  }
}

}  // namespace lugfork
