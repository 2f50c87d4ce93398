#include "discovery/evidence_exchange.h"

#include <algorithm>

namespace lugfork {

EvidenceExchange::EvidenceExchange(EvidenceExchangeSettings settings, EvidenceReporter& reporter,
                                   SharedEvidence& shared, PeerDirectory& directory, Endpoint self,
                                   std::uint16_t port, Send send, Scheduler& scheduler,
                                   const TimeSource& time_source, EventLog& log)
    : settings_(settings),
      reporter_(reporter),
      shared_(shared),
      directory_(directory),
      self_(self),
      port_(port),
      send_(std::move(send)),
      scheduler_(scheduler),
      time_source_(time_source),
      collector_(EvidenceCollectorSettings(), reporter.zone(), time_source, log,
                 [this](Endpoint to, const EvidenceDigest& digest) { send_(to, digest); }),
      bytes_left_(settings.burst_bytes) {}

void EvidenceExchange::start() {
  scheduler_.callAfter(settings_.interval, [this] {
    tick();
    start();
  });
}

void EvidenceExchange::tick() {
  refillBytes();
  if (bytes_left_ > 0) {
    report();
  }
  if (collector_.hasSubscribers()) {
    collector_.sendDigests();
    shared_.onDigest(collector_.digest());
  } else {
    collector_.removeExpired();
    shared_.refresh();
  }
}

void EvidenceExchange::report() {
  const auto report = reporter_.next();
  if (!report) {
    return;
  }
  collector_.onLocalReport(*report);
  const MonotonicTime now = time_source_.monotonicTime();
  for (const Endpoint to : recipients()) {
    Candidate& candidate = candidates_[to];
    candidate.asked_at = candidate.asked_at == MonotonicTime() ? now : candidate.asked_at;
    bytes_left_ -= static_cast<double>(wireBytesOf(*report));
    ++counters_.reports_sent;
    send_(to, *report);
  }
}

std::vector<Endpoint> EvidenceExchange::recipients() {
  removeExpired();
  std::vector<Endpoint> chosen;
  std::size_t collectors = 0;
  std::size_t unknown = 0;
  bool counted_self = false;
  for (const Endpoint peer : directory_.ranked()) {
    if (!counted_self && directory_.isBetterUpstream(self_, peer)) {
      counted_self = true;
      ++collectors;
    }
    if (collectors >= settings_.collector_count) {
      break;
    }
    const Endpoint to{peer.address, port_};
    const auto known = candidates_.find(to);
    const bool is_known = known != candidates_.end();
    if (is_known && isUseless(known->second)) {
      continue;
    }
    if (is_known && known->second.answered_at != MonotonicTime()) {
      ++collectors;
      chosen.push_back(to);
    } else if (unknown < settings_.max_unknown_recipients) {
      ++unknown;
      chosen.push_back(to);
    }
  }
  return chosen;
}

bool EvidenceExchange::isUseless(const Candidate& candidate) const {
  const bool has_answered = candidate.answered_at != MonotonicTime();
  return isSilent(candidate) || (has_answered && !candidate.is_of_own_zone);
}

bool EvidenceExchange::isSilent(const Candidate& candidate) const {
  return candidate.asked_at != MonotonicTime() &&
         time_source_.monotonicTime() - candidate.asked_at > settings_.answer_timeout;
}

void EvidenceExchange::removeExpired() {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(candidates_, [&](const auto& entry) {
    const Candidate& candidate = entry.second;
    const bool is_old = candidate.answered_at != MonotonicTime() &&
                        now - candidate.answered_at > settings_.zone_ttl;
    const bool was_left_alone =
        candidate.asked_at != MonotonicTime() &&
        now - candidate.asked_at > settings_.answer_timeout + settings_.unanswered_cooldown;
    return is_old || was_left_alone;
  });
}

void EvidenceExchange::refillBytes() {
  const MonotonicTime now = time_source_.monotonicTime();
  const double waited = std::chrono::duration<double>(now - bytes_counted_at_).count();
  bytes_left_ = std::min(settings_.burst_bytes, bytes_left_ + waited * settings_.bytes_per_second);
  bytes_counted_at_ = now;
}

void EvidenceExchange::onReport(const EvidenceReport& report, Endpoint from) {
  if (report.zone != reporter_.zone()) {
    ++counters_.reports_from_other_zones;
    send_(from, EvidenceDigest{reporter_.zone(), 0, {}, {}});
    return;
  }
  collector_.onReport(report, from);
}

void EvidenceExchange::onDigest(const EvidenceDigest& digest, Endpoint from) {
  Candidate& candidate = candidates_[from];
  candidate.answered_at = time_source_.monotonicTime();
  candidate.asked_at = MonotonicTime();
  candidate.is_of_own_zone = digest.zone == reporter_.zone();
  if (!candidate.is_of_own_zone) {
    ++counters_.digests_from_other_zones;
    return;
  }
  ++counters_.digests_received;
  shared_.onDigest(digest);
}

}  // namespace lugfork
