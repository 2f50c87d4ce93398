#include "discovery/evidence_collector.h"

#include <algorithm>
#include <vector>

#include "flow/shared_evidence.h"

namespace lugfork {

namespace {

/** IP and UDP headers, tag, type, and the fields other than the backends and the zone's name. */
constexpr std::size_t kHeaderBytes = 28 + 16 + 18;
/** Smallest budget for a digest: about eight backends, which are as large as the headers. */
constexpr double kMinDigestBytes = 130;
/** Time for which the maximum of retransmissions before an answer is reported in digests. */
constexpr Duration kRetransmissionsTtl = seconds(60);
/** Limit of the counts of reporters and flows, which are sent as one byte. */
constexpr std::uint8_t kMaxCount = 200;
/**
 * Counts from which a receiver with default SharedEvidenceSettings excludes a backend from
 * placement or marks it dead. Changes up to these counts are sent at once, changes above them with
 * the next periodic report.
 */
constexpr std::uint8_t kDecisiveReporters = 2;
constexpr std::uint8_t kDecisiveFlows = 3;
constexpr std::uint8_t kDecisiveRetransmissions = 4;

/** @return the values that receivers decide by; a backend is sent again when they change. */
std::tuple<int, bool, int> decisiveCounts(const SummedSilence& summed) {
  const bool has_flows = summed.silence.flows >= kDecisiveFlows;
  return {std::min(summed.reporters, kDecisiveReporters), has_flows,
          has_flows ? std::min(summed.silence.retransmissions, kDecisiveRetransmissions) : 0};
}

}  // namespace

std::size_t wireBytesOf(const EvidenceDigest& digest) {
  return kHeaderBytes + digest.zone.size() + digest.silent.size() * SummedSilence::kPackedBytes +
         digest.alive.size() * BackendLiveness::kPackedBytes;
}

std::size_t wireBytesOf(const EvidenceReport& report) {
  return kHeaderBytes + report.zone.size() + report.silent.size() * BackendSilence::kPackedBytes +
         report.alive.size() * BackendLiveness::kPackedBytes;
}

void EvidenceCollector::onReport(const EvidenceReport& report, Endpoint from) {
  ++counters_.reports;
  const bool has_room = subscribers_.size() < settings_.max_subscribers;
  if (subscribers_.contains(from) || has_room) {
    Subscriber& subscriber = subscribers_[from];
    subscriber.reported_at = time_source_.monotonicTime();
    subscriber.answer_pending = true;
  }
  addReport(report, from);
}

void EvidenceCollector::addReport(const EvidenceReport& report, Endpoint from) {
  const MonotonicTime now = time_source_.monotonicTime();
  if (report.survived_retransmissions >= answered_retransmissions_ ||
      now - answered_retransmissions_at_ > kRetransmissionsTtl) {
    answered_retransmissions_ = report.survived_retransmissions;
    answered_retransmissions_at_ = now;
  }
  for (const BackendLiveness& alive : report.alive) {
    recordLife(alive.backend, fromWireAge(now, alive.age_ms));
  }
  if (hasFailedPath(report)) {
    ++counters_.reports_excluded;
    excludeReporter(from);
    return;
  }
  for (const BackendSilence& silent : report.silent) {
    recordSilence(silent, from);
  }
}

bool EvidenceCollector::hasFailedPath(const EvidenceReport& report) const {
  return report.backends_in_use >= settings_.min_backends_in_use &&
         report.silent_backends > settings_.max_silent_fraction * report.backends_in_use;
}

void EvidenceCollector::excludeReporter(Endpoint reporter) {
  for (auto& [backend, evidence] : backends_) {
    evidence.by_reporter.erase(reporter);
  }
  log_.write(LogLevel::Info, "flow", "evidence_left_out",
             {{"from", reporter.isSet() ? toString(reporter) : std::string("self")},
              {"cause", "reports most backends of its zone as silent"}});
}

void EvidenceCollector::recordSilence(const BackendSilence& silent, Endpoint from) {
  const MonotonicTime now = time_source_.monotonicTime();
  const MonotonicTime attempt_at = fromWireAge(now, silent.attempt_age_ms);
  if (attempt_at == MonotonicTime() || now - attempt_at > settings_.report_ttl) {
    return;
  }
  if (silent.liveness_age_ms != kNeverMs) {
    recordLife(silent.backend, fromWireAge(now, silent.liveness_age_ms));
  }
  backends_[silent.backend].by_reporter[from] = {silent.flows, silent.retransmissions, attempt_at};
}

void EvidenceCollector::recordLife(BackendId backend, MonotonicTime life_at) {
  BackendEvidence& evidence = backends_[backend];
  evidence.life_at = std::max(evidence.life_at, life_at);
}

void EvidenceCollector::removeExpired() {
  const MonotonicTime now = time_source_.monotonicTime();
  for (auto& entry : backends_) {
    BackendEvidence& evidence = entry.second;
    std::erase_if(evidence.by_reporter, [&](const auto& reported) {
      const Observation& seen = reported.second;
      return now - seen.attempt_at > settings_.report_ttl || seen.attempt_at < evidence.life_at;
    });
  }
  std::erase_if(backends_, [&](const auto& entry) {
    return entry.second.by_reporter.empty() && now - entry.second.life_at > settings_.report_ttl;
  });
  std::erase_if(subscribers_, [&](const auto& entry) {
    return now - entry.second.reported_at > settings_.subscription_ttl;
  });
}

SummedSilence EvidenceCollector::sumReports(BackendId backend, const BackendEvidence& evidence,
                                            MonotonicTime& attempt_at) const {
  SummedSilence summed;
  summed.silence.backend = backend;
  for (const auto& [reporter, seen] : evidence.by_reporter) {
    summed.reporters = std::min<std::uint8_t>(kMaxCount, summed.reporters + 1);
    summed.silence.flows =
        static_cast<std::uint8_t>(std::min<int>(kMaxCount, summed.silence.flows + seen.flows));
    summed.silence.retransmissions = std::max(summed.silence.retransmissions, seen.repetitions);
    attempt_at = std::max(attempt_at, seen.attempt_at);
  }
  return summed;
}

void EvidenceCollector::updateVersions() {
  for (auto& [backend, evidence] : backends_) {
    MonotonicTime attempt_at;
    const SummedSilence summed = sumReports(backend, evidence, attempt_at);
    const bool is_repeat_due = attempt_at - evidence.last_attempt_at >= settings_.repeat_interval;
    const bool shows_life =
        evidence.life_at - evidence.last_life_at >= settings_.min_digest_interval;
    if (decisiveCounts(summed) != decisiveCounts(evidence.last_summary) || is_repeat_due ||
        shows_life) {
      evidence.version = ++version_;
      evidence.last_summary = summed;
      evidence.last_attempt_at = attempt_at;
      evidence.last_life_at = evidence.life_at;
    }
  }
}

void EvidenceCollector::sendDigests() {
  removeExpired();
  updateVersions();
  for (auto& [to, subscriber] : subscribers_) {
    sendDigest(to, subscriber);
  }
}

void EvidenceCollector::sendDigest(Endpoint to, Subscriber& subscriber) {
  EvidenceDigest digest;
  const bool has_changes = subscriber.version < version_;
  if (!(has_changes || subscriber.answer_pending) || !maySendDigest(subscriber)) {
    return;
  }
  digest.zone = zone_;
  digest.survived_retransmissions = answered_retransmissions_;
  const double backend_bytes =
      std::max(0.0, subscriber.available_bytes - static_cast<double>(wireBytesOf(digest)));
  const auto max_backends = static_cast<std::size_t>(backend_bytes / SummedSilence::kPackedBytes);
  subscriber.version =
      addChangesAfter(subscriber.version, std::min(max_backends, kMaxBackendsInEvidence), digest);
  if (digest.silent.empty() && digest.alive.empty() && !subscriber.answer_pending) {
    return;
  }
  subscriber.answer_pending = false;
  subscriber.sent_at = time_source_.monotonicTime();
  subscriber.available_bytes -= static_cast<double>(wireBytesOf(digest));
  ++counters_.digests;
  send_(to, digest);
}

bool EvidenceCollector::maySendDigest(Subscriber& subscriber) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const double elapsed_s = std::chrono::duration<double>(now - subscriber.refilled_at).count();
  subscriber.available_bytes = std::min(
      settings_.burst_bytes, subscriber.available_bytes + elapsed_s * settings_.bytes_per_second);
  subscriber.refilled_at = now;
  return now - subscriber.sent_at >= settings_.min_digest_interval &&
         subscriber.available_bytes >= kMinDigestBytes;
}

std::uint64_t EvidenceCollector::addChangesAfter(std::uint64_t version, std::size_t max_backends,
                                                 EvidenceDigest& digest) const {
  std::map<std::uint64_t, BackendId> changed;
  for (const auto& [backend, evidence] : backends_) {
    if (evidence.version > version) {
      changed[evidence.version] = backend;
    }
  }
  for (const auto& [changed_at, backend] : changed) {
    if (digest.silent.size() + digest.alive.size() >= max_backends) {
      return version;
    }
    addBackend(backend, backends_.at(backend), digest);
    version = changed_at;
  }
  return version_;
}

void EvidenceCollector::addBackend(BackendId backend, const BackendEvidence& evidence,
                                   EvidenceDigest& digest) const {
  const MonotonicTime now = time_source_.monotonicTime();
  if (evidence.by_reporter.empty()) {
    if (evidence.life_at != MonotonicTime()) {
      digest.alive.push_back({backend, toWireAge(now, evidence.life_at)});
    }
    return;
  }
  MonotonicTime attempt_at;
  SummedSilence summed = sumReports(backend, evidence, attempt_at);
  summed.silence.attempt_age_ms = toWireAge(now, attempt_at);
  summed.silence.liveness_age_ms = toWireAge(now, evidence.life_at);
  digest.silent.push_back(summed);
}

EvidenceDigest EvidenceCollector::digest() const {
  EvidenceDigest digest{zone_, answered_retransmissions_, {}, {}};
  for (const auto& [backend, evidence] : backends_) {
    addBackend(backend, evidence, digest);
  }
  return digest;
}

}  // namespace lugfork
