#include "discovery/evidence_collector.h"

#include <algorithm>
#include <vector>

#include "flow/shared_evidence.h"

namespace lugfork {

namespace {

/** IP and UDP headers, the tag, the type and the fields beside servers and the zone's name. */
constexpr std::size_t kHeaderBytes = 28 + 16 + 18;
/** A digest waits until it may hold some eight servers: its headers take as much as these. */
constexpr double kLeastBytes = 130;
/** Time for which the most repetitions before an answer go into digests. */
constexpr Duration kSurvivedFor = seconds(60);
/** Reporters and flows are counted up to here, so that they fit into a byte. */
constexpr std::uint8_t kMostCounted = 200;
/**
 * Counts from which a receiver with default SharedEvidenceSettings passes a server over, or takes
 * it for dead. Changes up to these are sent at once, changes above them with the next repeat.
 */
constexpr std::uint8_t kReportersThatMatter = 2;
constexpr std::uint8_t kFlowsThatMatter = 3;
constexpr std::uint8_t kRepetitionsThatMatter = 4;

/** @return what receivers decide by: a server goes into digests again when this changes. */
std::tuple<int, bool, int> decisiveOf(const SummedSilence& summed) {
  const bool has_flows = summed.silence.flows >= kFlowsThatMatter;
  return {std::min(summed.reporters, kReportersThatMatter), has_flows,
          has_flows ? std::min(summed.silence.retransmissions, kRepetitionsThatMatter) : 0};
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
    subscriber.owes_answer = true;
  }
  take(report, from);
}

void EvidenceCollector::take(const EvidenceReport& report, Endpoint from) {
  const MonotonicTime now = time_source_.monotonicTime();
  if (report.survived_retransmissions >= survived_ || now - survived_at_ > kSurvivedFor) {
    survived_ = report.survived_retransmissions;
    survived_at_ = now;
  }
  for (const BackendLiveness& alive : report.alive) {
    noteLife(alive.backend, fromWireAge(now, alive.age_ms));
  }
  if (isAboutItself(report)) {
    ++counters_.reports_left_out;
    leaveOut(from);
    return;
  }
  for (const BackendSilence& silent : report.silent) {
    noteSilence(silent, from);
  }
}

bool EvidenceCollector::isAboutItself(const EvidenceReport& report) const {
  return report.backends_in_use >= settings_.servers_to_judge &&
         report.silent_backends > settings_.max_silent_share * report.backends_in_use;
}

void EvidenceCollector::leaveOut(Endpoint reporter) {
  for (auto& [backend, server] : servers_) {
    server.by_reporter.erase(reporter);
  }
  log_.write(LogLevel::Info, "flow", "evidence_left_out",
             {{"from", reporter.isSet() ? toString(reporter) : std::string("self")},
              {"cause", "names most servers of its own zone"}});
}

void EvidenceCollector::noteSilence(const BackendSilence& silent, Endpoint from) {
  const MonotonicTime now = time_source_.monotonicTime();
  const MonotonicTime attempt_at = fromWireAge(now, silent.attempt_age_ms);
  if (attempt_at == MonotonicTime() || now - attempt_at > settings_.fresh_for) {
    return;
  }
  if (silent.liveness_age_ms != kNeverMs) {
    noteLife(silent.backend, fromWireAge(now, silent.liveness_age_ms));
  }
  servers_[silent.backend].by_reporter[from] = {silent.flows, silent.retransmissions, attempt_at};
}

void EvidenceCollector::noteLife(BackendId backend, MonotonicTime life_at) {
  Server& server = servers_[backend];
  server.life_at = std::max(server.life_at, life_at);
}

void EvidenceCollector::forgetOld() {
  const MonotonicTime now = time_source_.monotonicTime();
  for (auto& entry : servers_) {
    Server& server = entry.second;
    std::erase_if(server.by_reporter, [&](const auto& reported) {
      const Seen& seen = reported.second;
      return now - seen.attempt_at > settings_.fresh_for || seen.attempt_at < server.life_at;
    });
  }
  std::erase_if(servers_, [&](const auto& entry) {
    return entry.second.by_reporter.empty() && now - entry.second.life_at > settings_.fresh_for;
  });
  std::erase_if(subscribers_, [&](const auto& entry) {
    return now - entry.second.reported_at > settings_.subscription;
  });
}

SummedSilence EvidenceCollector::sum(BackendId backend, const Server& server,
                                     MonotonicTime& attempt_at) const {
  SummedSilence summed;
  summed.silence.backend = backend;
  for (const auto& [reporter, seen] : server.by_reporter) {
    summed.reporters = std::min<std::uint8_t>(kMostCounted, summed.reporters + 1);
    summed.silence.flows =
        static_cast<std::uint8_t>(std::min<int>(kMostCounted, summed.silence.flows + seen.flows));
    summed.silence.retransmissions = std::max(summed.silence.retransmissions, seen.repetitions);
    attempt_at = std::max(attempt_at, seen.attempt_at);
  }
  return summed;
}

void EvidenceCollector::noteChanges() {
  for (auto& [backend, server] : servers_) {
    MonotonicTime attempt_at;
    const SummedSilence summed = sum(backend, server, attempt_at);
    const bool is_later = attempt_at - server.told_attempt_at >= settings_.repeat_after;
    const bool shows_life = server.life_at - server.told_life_at >= settings_.digest_gap;
    if (decisiveOf(summed) != decisiveOf(server.told) || is_later || shows_life) {
      server.version = ++version_;
      server.told = summed;
      server.told_attempt_at = attempt_at;
      server.told_life_at = server.life_at;
    }
  }
}

void EvidenceCollector::tell() {
  forgetOld();
  noteChanges();
  for (auto& [to, subscriber] : subscribers_) {
    tell(to, subscriber);
  }
}

void EvidenceCollector::tell(Endpoint to, Subscriber& subscriber) {
  EvidenceDigest digest;
  const bool has_news = subscriber.version < version_;
  if (!(has_news || subscriber.owes_answer) || !mayTell(subscriber)) {
    return;
  }
  digest.zone = zone_;
  digest.survived_retransmissions = survived_;
  const double for_servers =
      std::max(0.0, subscriber.bytes_left - static_cast<double>(wireBytesOf(digest)));
  const auto most = static_cast<std::size_t>(for_servers / SummedSilence::kPackedBytes);
  subscriber.version =
      addNewerThan(subscriber.version, std::min(most, kMaxBackendsInEvidence), digest);
  if (digest.silent.empty() && digest.alive.empty() && !subscriber.owes_answer) {
    return;
  }
  subscriber.owes_answer = false;
  subscriber.told_at = time_source_.monotonicTime();
  subscriber.bytes_left -= static_cast<double>(wireBytesOf(digest));
  ++counters_.digests;
  send_(to, digest);
}

bool EvidenceCollector::mayTell(Subscriber& subscriber) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const double waited = std::chrono::duration<double>(now - subscriber.bytes_counted_at).count();
  subscriber.bytes_left =
      std::min(settings_.burst_bytes, subscriber.bytes_left + waited * settings_.bytes_per_second);
  subscriber.bytes_counted_at = now;
  return now - subscriber.told_at >= settings_.digest_gap && subscriber.bytes_left >= kLeastBytes;
}

std::uint64_t EvidenceCollector::addNewerThan(std::uint64_t version, std::size_t most,
                                              EvidenceDigest& digest) const {
  std::map<std::uint64_t, BackendId> changed;
  for (const auto& [backend, server] : servers_) {
    if (server.version > version) {
      changed[server.version] = backend;
    }
  }
  for (const auto& [changed_at, backend] : changed) {
    if (digest.silent.size() + digest.alive.size() >= most) {
      return version;
    }
    addServer(backend, servers_.at(backend), digest);
    version = changed_at;
  }
  return version_;
}

void EvidenceCollector::addServer(BackendId backend, const Server& server,
                                  EvidenceDigest& digest) const {
  const MonotonicTime now = time_source_.monotonicTime();
  if (server.by_reporter.empty()) {
    if (server.life_at != MonotonicTime()) {
      digest.alive.push_back({backend, toWireAge(now, server.life_at)});
    }
    return;
  }
  MonotonicTime attempt_at;
  SummedSilence summed = sum(backend, server, attempt_at);
  summed.silence.attempt_age_ms = toWireAge(now, attempt_at);
  summed.silence.liveness_age_ms = toWireAge(now, server.life_at);
  digest.silent.push_back(summed);
}

EvidenceDigest EvidenceCollector::digest() const {
  EvidenceDigest digest{zone_, survived_, {}, {}};
  for (const auto& [backend, server] : servers_) {
    addServer(backend, server, digest);
  }
  return digest;
}

}  // namespace lugfork
