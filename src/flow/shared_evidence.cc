#include "flow/shared_evidence.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Time for which progress is kept: no evidence is older. */
constexpr Duration kProgressTtl = seconds(10);
/**
 * Time for which a reported answer after retransmissions raises the number of retransmissions
 * needed to declare a backend dead. Same as SilenceDetectorSettings::slow_answer_ttl.
 */
constexpr Duration kSurvivedRetransmissionsTtl = seconds(60);
/**
 * A zone answers if its last progress is not older than this; a balancer observes several a second.
 */
constexpr Duration kZoneAnswerWindow = milliseconds(500);

}  // namespace

std::uint16_t toWireAge(MonotonicTime now, MonotonicTime time) {
  if (time == MonotonicTime()) {
    return kNeverMs;
  }
  const std::int64_t age_ms = std::max<std::int64_t>(0, toMilliseconds(now - time));
  return static_cast<std::uint16_t>(std::min<std::int64_t>(age_ms, kNeverMs - 1));
}

MonotonicTime fromWireAge(MonotonicTime now, std::uint16_t age_ms) {
  return age_ms == kNeverMs ? MonotonicTime() : now - milliseconds(age_ms);
}

void SharedEvidence::onConfigurationChanged(const ConfigurationChanges& changes,
                                            const ConfigurationView& configuration) {
  if (changes.services) {
    zone_names_.clear();
    for (const Zone& zone : configuration.document().zones) {
      zone_names_[zone.id] = zone.name;
    }
  }
  for (const auto& backend : changes.removed) {
    remove(backend->id);
  }
  for (const Backend* backend : changes.backends) {
    put(*backend);
  }
  for (const BackendId restarted : changes.restarted) {
    // Attempts reported so far, and reports in transit, concern the previous incarnation.
    reported_.erase(restarted);
    reported_progress_[restarted] = time_source_.monotonicTime();
  }
  refresh();
}

void SharedEvidence::put(const Backend& backend) {
  remove(backend.id);
  backends_[backend.id] = {backend.zone, backend.service, !backend.retired};
  service_sizes_[backend.service] += backend.retired ? 0 : 1;
}

void SharedEvidence::remove(BackendId backend) {
  const auto known = backends_.extract(backend);
  if (!known.empty() && known.mapped().counts_for_service) {
    --service_sizes_[known.mapped().service];
  }
}

void SharedEvidence::onDigest(const EvidenceDigest& digest) {
  const MonotonicTime now = time_source_.monotonicTime();
  for (const BackendLiveness& alive : digest.alive) {
    recordProgress(alive.backend, fromWireAge(now, alive.age_ms));
    if (const auto zone = zoneOf(alive.backend)) {
      objections_[*zone] = std::max(objections_[*zone], fromWireAge(now, alive.age_ms));
    }
  }
  for (const SummedSilence& summed : digest.silent) {
    const BackendSilence& seen = summed.silence;
    if (seen.liveness_age_ms != kNeverMs) {
      recordProgress(seen.backend, fromWireAge(now, seen.liveness_age_ms));
    }
    const auto [entry, is_new] = reported_.try_emplace(seen.backend);
    ReportedSilence& reported = entry->second;
    if (is_new || !isUnanswered(seen.backend, reported)) {
      reported = ReportedSilence();
      reported.first_reported_at = now;
    }
    // Several balancers may send digests; the highest counts apply.
    reported.reporters = std::max<std::size_t>(reported.reporters, summed.reporters);
    reported.flows = std::max<std::size_t>(reported.flows, seen.flows);
    reported.retransmissions =
        std::max<std::uint16_t>(reported.retransmissions, seen.retransmissions);
    reported.last_attempt_at =
        std::max(reported.last_attempt_at, fromWireAge(now, seen.attempt_age_ms));
  }
  const bool is_expired = now - reported_survived_at_ > kSurvivedRetransmissionsTtl;
  const bool is_more =
      digest.survived_retransmissions >= reported_survived_retransmissions_ || is_expired;
  if (digest.survived_retransmissions > 0 && is_more) {
    reported_survived_retransmissions_ = digest.survived_retransmissions;
    reported_survived_at_ = now;
  }
  refresh();
}

void SharedEvidence::recordProgress(BackendId backend, MonotonicTime progress_at) {
  const auto reported = reported_.find(backend);
  const auto known = backends_.find(backend);
  const bool was_unanswered =
      reported != reported_.end() && isUnanswered(backend, reported->second);
  MonotonicTime& reported_progress = reported_progress_[backend];
  reported_progress = std::max(reported_progress, progress_at);
  if (was_unanswered && known != backends_.end() &&
      progress_at > reported->second.last_attempt_at) {
    false_suspicions_.add(known->second.service, backend);
  }
}

bool SharedEvidence::isUnderPressure(ServiceId service) const {
  const auto size = service_sizes_.find(service);
  return local_.isUnderPressure(service) ||
         (size != service_sizes_.end() && false_suspicions_.exceedThreshold(service, size->second));
}

void SharedEvidence::refresh() {
  removeExpired();
  updateSuspects();
  updateUnreachableZones();
}

void SharedEvidence::removeExpired() {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(reported_progress_,
                [&](const auto& entry) { return now - entry.second > kProgressTtl; });
  std::erase_if(reported_, [&](const auto& entry) {
    return !backends_.contains(entry.first) || !isCurrent(entry.second.last_attempt_at);
  });
}

bool SharedEvidence::isUnanswered(BackendId backend, const ReportedSilence& reported) const {
  return lastProgressOf(backend) <= reported.last_attempt_at;
}

void SharedEvidence::updateSuspects() {
  std::unordered_map<ServiceId, std::size_t> suspects;
  std::set<BackendId> reported_suspects;
  for (const auto& [backend, reported] : reported_) {
    if (reported.reporters >= settings_.min_reporters && isUnanswered(backend, reported)) {
      ++suspects[backends_.at(backend).service];
      reported_suspects.insert(backend);
    }
  }
  const auto exceeds_max_fraction = [&](BackendId backend) {
    const ServiceId service = backends_.at(backend).service;
    const auto size = static_cast<double>(service_sizes_.at(service));
    return static_cast<double>(suspects[service]) > settings_.max_suspect_fraction * size;
  };
  std::erase_if(reported_suspects, exceeds_max_fraction);
  for (const BackendId backend : reported_suspects) {
    if (!suspects_.contains(backend)) {
      const ReportedSilence& reported = reported_.at(backend);
      log_.write(LogLevel::Info, "flow", "backend_suspected_by_others",
                 {{"backend_id", backend.value()},
                  {"reporters", static_cast<std::uint64_t>(reported.reporters)},
                  {"silent_flows", static_cast<std::uint64_t>(reported.flows)},
                  {"attempt_age_ms",
                   toMilliseconds(time_source_.monotonicTime() - reported.last_attempt_at)}});
    }
  }
  suspects_ = std::move(reported_suspects);
}

void SharedEvidence::updateUnreachableZones() {
  std::map<ZoneId, MonotonicTime> unreachable;
  for (const ZoneId zone : suspectZones()) {
    if (isZoneSilent(zone)) {
      const auto before = unreachable_zones_.find(zone);
      const bool is_new = before == unreachable_zones_.end();
      unreachable[zone] = is_new ? time_source_.monotonicTime() : before->second;
    }
  }
  if (namesOf(unreachable) != namesOf(unreachable_zones_)) {
    log_.write(LogLevel::Info, "flow", "zones_out_of_reach",
               {{"zones", namesOf(unreachable)},
                {"zones_before", namesOf(unreachable_zones_)},
                {"servers_named", static_cast<std::uint64_t>(reported_.size())}});
  }
  unreachable_zones_ = std::move(unreachable);
}

std::string SharedEvidence::namesOf(const std::map<ZoneId, MonotonicTime>& zones) const {
  std::string names;
  for (const auto& [zone, since] : zones) {
    const auto name = zone_names_.find(zone);
    names += (names.empty() ? "" : " ") + (name == zone_names_.end() ? "?" : name->second);
  }
  return names;
}

std::set<ZoneId> SharedEvidence::suspectZones() const {
  std::unordered_map<ZoneId, std::size_t> silent_counts;
  std::set<ZoneId> zones;
  for (const auto& [backend, reported] : reported_) {
    const ZoneId zone = backends_.at(backend).zone;
    silent_counts[zone] += isUnanswered(backend, reported) ? 1 : 0;
    if (silent_counts[zone] >= settings_.min_silent_backends_of_zone) {
      zones.insert(zone);
    }
  }
  return zones;
}

bool SharedEvidence::isZoneSilent(ZoneId zone) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool answers_lately = now - lastProgressIn(zone) < settings_.min_zone_silence ||
                              now - lastObjectionAt(zone) < settings_.objection_ttl;
  if (answers_lately || !otherZoneAnswers(zone)) {
    return false;
  }
  bool suspected_locally = false;
  bool suspected_by_peer = false;
  for (const auto& [backend, reported] : reported_) {
    if (backends_.at(backend).zone == zone && isUnanswered(backend, reported)) {
      const bool is_local_suspect = local_.isSuspect(backend);
      suspected_locally = suspected_locally || is_local_suspect;
      suspected_by_peer =
          suspected_by_peer || !is_local_suspect || reported.reporters >= settings_.min_reporters;
    }
  }
  return suspected_locally && suspected_by_peer;
}

MonotonicTime SharedEvidence::lastObjectionAt(ZoneId zone) const {
  const auto found = objections_.find(zone);
  return found == objections_.end() ? MonotonicTime() : found->second;
}

MonotonicTime SharedEvidence::lastProgressIn(ZoneId zone) const {
  MonotonicTime last;
  for (const auto& [backend, known] : backends_) {
    if (known.zone == zone) {
      last = std::max(last, lastProgressOf(backend));
    }
  }
  return last;
}

bool SharedEvidence::otherZoneAnswers(ZoneId zone) const {
  const MonotonicTime earliest = time_source_.monotonicTime() - kZoneAnswerWindow;
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    return entry.second.zone != zone && local_.lastProgressAt(entry.first) >= earliest;
  });
}

bool SharedEvidence::isSuspect(BackendId backend) const {
  if (local_.isSuspect(backend)) {
    return true;
  }
  if (!suspects_.contains(backend)) {
    return false;
  }
  const Duration silent_for = time_source_.monotonicTime() - lastProgressOf(backend);
  return silent_for >= settings_.min_silence || !isUnderPressure(backends_.at(backend).service);
}

bool SharedEvidence::isInUnreachableZone(BackendId backend) const {
  if (unreachable_zones_.empty()) {
    return false;
  }
  const auto known = backends_.find(backend);
  return known != backends_.end() && unreachable_zones_.contains(known->second.zone);
}

std::optional<DeathEvidence> SharedEvidence::deathEvidence(BackendId backend,
                                                           std::uint16_t retransmissions) const {
  const auto known = backends_.find(backend);
  if (retransmissions == 0 || known == backends_.end() || isUnderPressure(known->second.service)) {
    return std::nullopt;
  }
  const auto by_zone = zoneDeathEvidence(backend, retransmissions);
  return by_zone ? by_zone : backendDeathEvidence(backend, retransmissions);
}

std::optional<DeathEvidence> SharedEvidence::zoneDeathEvidence(
    BackendId backend, std::uint16_t retransmissions) const {
  const auto zone = zoneOf(backend);
  const auto unreachable = zone ? unreachable_zones_.find(*zone) : unreachable_zones_.end();
  if (unreachable == unreachable_zones_.end() || retransmissions < retransmissionsToDeclareDead()) {
    return std::nullopt;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  const MonotonicTime progress_at = lastProgressIn(*zone);
  const Duration silent_for = now - std::max(progress_at, behind_at_);
  const MonotonicTime unreachable_since = std::max(unreachable->second, behind_at_);
  if (silent_for < settings_.min_silence || now - unreachable_since < settings_.reset_delay) {
    return std::nullopt;
  }
  const bool has_progressed = progress_at != MonotonicTime();
  DeathEvidence evidence{true, 0, 0, has_progressed ? silent_for : Duration::zero()};
  for (const auto& [other, reported] : reported_) {
    if (zoneOf(other) == zone) {
      evidence.reporters = std::max(evidence.reporters, reported.reporters);
      evidence.flows += reported.flows;
    }
  }
  return evidence;
}

std::optional<DeathEvidence> SharedEvidence::backendDeathEvidence(
    BackendId backend, std::uint16_t retransmissions) const {
  if (!suspects_.contains(backend)) {
    return std::nullopt;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  const ReportedSilence& reported = reported_.at(backend);
  const MonotonicTime progress_at = lastProgressOf(backend);
  // Requires retransmissions on this flow: a flow that is answered must not be reset because of
  // losses on others.
  const bool is_certain =
      retransmissions >= retransmissionsToDeclareDead() &&
      reported.flows >= settings_.min_silent_flows &&
      now - std::max(progress_at, behind_at_) >= settings_.min_silence &&
      now - std::max(reported.first_reported_at, behind_at_) >= settings_.reset_delay &&
      !local_.isSilenceWidespread();
  if (!is_certain) {
    return std::nullopt;
  }
  return DeathEvidence{false, reported.reporters, reported.flows,
                       progress_at == MonotonicTime() ? Duration::zero() : now - progress_at};
}

std::uint16_t SharedEvidence::retransmissionsToDeclareDead() const {
  const bool is_current =
      time_source_.monotonicTime() - reported_survived_at_ <= kSurvivedRetransmissionsTtl;
  const std::uint16_t survived = is_current ? reported_survived_retransmissions_ : std::uint16_t{0};
  return std::max<std::uint16_t>(local_.retransmissionsToDeclareDead(), survived + 1);
}

std::optional<ZoneId> SharedEvidence::zoneOf(BackendId backend) const {
  const auto known = backends_.find(backend);
  return known == backends_.end() ? std::nullopt : std::optional<ZoneId>(known->second.zone);
}

MonotonicTime SharedEvidence::lastProgressOf(BackendId backend) const {
  const auto reported = reported_progress_.find(backend);
  const MonotonicTime reported_at =
      reported == reported_progress_.end() ? MonotonicTime() : reported->second;
  return std::max(reported_at, local_.lastProgressAt(backend));
}

bool SharedEvidence::isCurrent(MonotonicTime last_attempt_at) const {
  return time_source_.monotonicTime() - last_attempt_at <= settings_.attempt_ttl;
}

}  // namespace lugfork
