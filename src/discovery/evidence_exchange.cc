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
      available_bytes_(settings.burst_bytes) {}

void EvidenceExchange::start() {
  scheduler_.callAfter(settings_.interval, [this] {
    tick();
    start();
  });
}

void EvidenceExchange::tick() {
  refillBytes();
  if (available_bytes_ > 0) {
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
    candidate.reported_at = candidate.reported_at == MonotonicTime() ? now : candidate.reported_at;
    available_bytes_ -= static_cast<double>(wireBytesOf(*report));
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
    if (is_known && isIneligible(known->second)) {
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

bool EvidenceExchange::isIneligible(const Candidate& candidate) const {
  const bool has_answered = candidate.answered_at != MonotonicTime();
  return hasTimedOut(candidate) || (has_answered && !candidate.is_in_local_zone);
}

bool EvidenceExchange::hasTimedOut(const Candidate& candidate) const {
  return candidate.reported_at != MonotonicTime() &&
         time_source_.monotonicTime() - candidate.reported_at > settings_.answer_timeout;
}

void EvidenceExchange::removeExpired() {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(candidates_, [&](const auto& entry) {
    const Candidate& candidate = entry.second;
    const bool is_old = candidate.answered_at != MonotonicTime() &&
                        now - candidate.answered_at > settings_.zone_ttl;
    const bool is_cooldown_over =
        candidate.reported_at != MonotonicTime() &&
        now - candidate.reported_at > settings_.answer_timeout + settings_.unanswered_cooldown;
    return is_old || is_cooldown_over;
  });
}

void EvidenceExchange::refillBytes() {
  const MonotonicTime now = time_source_.monotonicTime();
  const double elapsed_s = std::chrono::duration<double>(now - refilled_at_).count();
  available_bytes_ =
      std::min(settings_.burst_bytes, available_bytes_ + elapsed_s * settings_.bytes_per_second);
  refilled_at_ = now;
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
  candidate.reported_at = MonotonicTime();
  candidate.is_in_local_zone = digest.zone == reporter_.zone();
  if (!candidate.is_in_local_zone) {
    ++counters_.digests_from_other_zones;
    return;
  }
  ++counters_.digests_received;
  shared_.onDigest(digest);
}

}  // namespace lugfork
