#include "flow/evidence_reporter.h"

#include <algorithm>

namespace lugfork {

namespace {

/**
 * Upper bound of reported flows and retransmissions: more make no difference, and it fits into a
 * byte.
 */
constexpr std::size_t kMaxReportedCount = 200;
/** Time after which reported progress is removed, to bound memory use. */
constexpr Duration kReportedProgressTtl = seconds(10);

}  // namespace

EvidenceReporter::EvidenceReporter(EvidenceReporterSettings settings, std::string zone,
                                   const SilenceDetector& local, const SharedEvidence& shared,
                                   const TimeSource& time_source)
    : settings_(settings),
      zone_(std::move(zone)),
      local_(local),
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
  report.survived_retransmissions = static_cast<std::uint8_t>(
      std::min<std::size_t>(local_.survivedRetransmissions(), kMaxReportedCount));
  addUsage(report);
  return report;
}

bool EvidenceReporter::isNew(const SilenceObservation& seen) const {
  const auto found = reported_.find(seen.backend);
  if (found == reported_.end()) {
    return true;
  }
  const SilenceObservation& last_reported = found->second;
  return seen.flows > last_reported.flows || seen.retransmissions > last_reported.retransmissions ||
         seen.last_attempt_at - last_reported.last_attempt_at >= settings_.repeat_interval;
}

void EvidenceReporter::addSilent(EvidenceReport& report) {
  const MonotonicTime now = time_source_.monotonicTime();
  const std::vector<SilenceObservation> observations = local_.observations();
  std::unordered_map<BackendId, SilenceObservation> reported;
  for (const SilenceObservation& seen : observations) {
    const bool is_reported = isNew(seen) && report.silent.size() < kMaxBackendsInEvidence;
    if (is_reported) {
      report.silent.push_back(
          {seen.backend, static_cast<std::uint8_t>(std::min(seen.flows, kMaxReportedCount)),
           static_cast<std::uint8_t>(
               std::min<std::size_t>(seen.retransmissions, kMaxReportedCount)),
           toWireAge(now, seen.last_attempt_at), toWireAge(now, seen.last_progress_at)});
      reported[seen.backend] = seen;
    } else if (const auto before = reported_.find(seen.backend); before != reported_.end()) {
      reported[seen.backend] = before->second;
    }
  }
  for (const auto& [backend, last_reported] : reported_) {
    const MonotonicTime progress_at = local_.lastProgressAt(backend);
    if (progress_at > last_reported.last_attempt_at) {
      addProgress(report, backend, progress_at);
    }
  }
  reported_ = std::move(reported);
}

void EvidenceReporter::addAlive(EvidenceReport& report) {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(progress_reported_at_,
                [&](const auto& entry) { return now - entry.second > kReportedProgressTtl; });
  for (const auto& [backend, silence] : shared_.reportedSilence()) {
    const MonotonicTime progress_at = local_.lastProgressAt(backend);
    if (progress_at > silence.last_attempt_at) {
      addProgress(report, backend, progress_at);
    }
  }
}

void EvidenceReporter::addAliveZones(EvidenceReport& report) {
  const MonotonicTime now = time_source_.monotonicTime();
  for (const ZoneId zone : shared_.suspectZones()) {
    const MonotonicTime objected_at = std::max(objected_at_[zone], shared_.lastObjectionAt(zone));
    const bool is_full = report.alive.size() >= kMaxBackendsInEvidence;
    if (is_full || now - objected_at < settings_.min_objection_interval) {
      continue;
    }
    const BackendId answering = lastAnsweringBackend(zone);
    if (answering != BackendId()) {
      objected_at_[zone] = now;
      report.alive.push_back({answering, toWireAge(now, local_.lastProgressAt(answering))});
    }
  }
}

BackendId EvidenceReporter::lastAnsweringBackend(ZoneId zone) const {
  BackendId last;
  MonotonicTime last_at = time_source_.monotonicTime() - settings_.min_progress_interval;
  for (const BackendId backend : local_.usedWithin(settings_.min_progress_interval)) {
    const MonotonicTime progress_at = local_.lastProgressAt(backend);
    if (shared_.zoneOf(backend) == zone && progress_at >= last_at) {
      last = backend;
      last_at = progress_at;
    }
  }
  return last;
}

void EvidenceReporter::addProgress(EvidenceReport& report, BackendId backend,
                                   MonotonicTime progress_at) {
  const auto last_reported = progress_reported_at_.find(backend);
  const bool is_new = last_reported == progress_reported_at_.end() ||
                      progress_at - last_reported->second > settings_.min_progress_interval;
  if (is_new && report.alive.size() < kMaxBackendsInEvidence) {
    progress_reported_at_[backend] = progress_at;
    report.alive.push_back({backend, toWireAge(time_source_.monotonicTime(), progress_at)});
  }
}

void EvidenceReporter::addUsage(EvidenceReport& report) const {
  std::uint16_t in_use = 0;
  std::uint16_t silent = 0;
  for (const BackendId backend : local_.usedWithin(settings_.in_use_window)) {
    const bool is_silent = local_.isSuspect(backend);
    const bool is_local = zone_id_ && shared_.zoneOf(backend) == *zone_id_;
    report.backends_in_use += is_local ? 1 : 0;
    report.silent_backends += is_local && is_silent ? 1 : 0;
    ++in_use;
    silent += is_silent ? 1 : 0;
  }
  if (report.backends_in_use == 0) {
    report.backends_in_use = in_use;
    report.silent_backends = silent;
  }
}

}  // namespace lugfork
