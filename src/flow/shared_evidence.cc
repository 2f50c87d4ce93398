#include "flow/shared_evidence.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Longest time for which a sign of life is remembered: no evidence is older. */
constexpr Duration kLifeMemory = seconds(10);
/**
 * Time for which an answer after repetitions that others report raises how many repetitions prove a
 * server dead: as long as SilenceSettings::slow_memory.
 */
constexpr Duration kSurvivedMemory = seconds(60);
/** A zone answers where a sign of life of it is not older: a node sees several a second. */
constexpr Duration kZoneAnswers = milliseconds(500);

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
    // Attempts that were reported before, and reports on their way, are about the earlier run.
    told_.erase(restarted);
    told_life_[restarted] = time_source_.monotonicTime();
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
  if (!known.empty() && known.mapped().counts) {
    --service_sizes_[known.mapped().service];
  }
}

void SharedEvidence::onDigest(const EvidenceDigest& digest) {
  const MonotonicTime now = time_source_.monotonicTime();
  for (const BackendLiveness& alive : digest.alive) {
    noteLife(alive.backend, fromWireAge(now, alive.age_ms));
    if (const auto zone = zoneOf(alive.backend)) {
      objections_[*zone] = std::max(objections_[*zone], fromWireAge(now, alive.age_ms));
    }
  }
  for (const SummedSilence& summed : digest.silent) {
    const BackendSilence& seen = summed.silence;
    if (seen.liveness_age_ms != kNeverMs) {
      noteLife(seen.backend, fromWireAge(now, seen.liveness_age_ms));
    }
    const auto [entry, is_new] = told_.try_emplace(seen.backend);
    ToldSilence& told = entry->second;
    if (is_new || !isUnanswered(seen.backend, told)) {
      told = ToldSilence();
      told.first_told_at = now;
    }
    // Digests may come from several balancers; the one with the most reports counts.
    told.reporters = std::max<std::size_t>(told.reporters, summed.reporters);
    told.flows = std::max<std::size_t>(told.flows, seen.flows);
    told.repetitions = std::max<std::uint16_t>(told.repetitions, seen.retransmissions);
    told.attempt_at = std::max(told.attempt_at, fromWireAge(now, seen.attempt_age_ms));
  }
  const bool is_forgotten = now - told_survived_at_ > kSurvivedMemory;
  const bool is_more = digest.survived_retransmissions >= told_survived_ || is_forgotten;
  if (digest.survived_retransmissions > 0 && is_more) {
    told_survived_ = digest.survived_retransmissions;
    told_survived_at_ = now;
  }
  refresh();
}

void SharedEvidence::noteLife(BackendId backend, MonotonicTime life_at) {
  const auto told = told_.find(backend);
  const auto known = backends_.find(backend);
  const bool was_unanswered = told != told_.end() && isUnanswered(backend, told->second);
  MonotonicTime& told_life = told_life_[backend];
  told_life = std::max(told_life, life_at);
  if (was_unanswered && known != backends_.end() && life_at > told->second.attempt_at) {
    false_suspicions_.add(known->second.service, backend);
  }
}

bool SharedEvidence::isUnderPressure(ServiceId service) const {
  const auto size = service_sizes_.find(service);
  return own_.isUnderPressure(service) ||
         (size != service_sizes_.end() && false_suspicions_.areMany(service, size->second));
}

void SharedEvidence::refresh() {
  forgetOld();
  believe();
  believeZones();
}

void SharedEvidence::forgetOld() {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(told_life_, [&](const auto& life) { return now - life.second > kLifeMemory; });
  std::erase_if(told_, [&](const auto& entry) {
    return !backends_.contains(entry.first) || !isFresh(entry.second.attempt_at);
  });
}

bool SharedEvidence::isUnanswered(BackendId backend, const ToldSilence& told) const {
  return lifeOf(backend) <= told.attempt_at;
}

void SharedEvidence::believe() {
  std::unordered_map<ServiceId, std::size_t> suspects;
  std::set<BackendId> named;
  for (const auto& [backend, told] : told_) {
    if (told.reporters >= settings_.reporters_needed && isUnanswered(backend, told)) {
      ++suspects[backends_.at(backend).service];
      named.insert(backend);
    }
  }
  const auto is_beyond_share = [&](BackendId backend) {
    const ServiceId service = backends_.at(backend).service;
    const auto size = static_cast<double>(service_sizes_.at(service));
    return static_cast<double>(suspects[service]) > settings_.max_share * size;
  };
  std::erase_if(named, is_beyond_share);
  for (const BackendId backend : named) {
    if (!believed_.contains(backend)) {
      const ToldSilence& told = told_.at(backend);
      log_.write(
          LogLevel::Info, "flow", "backend_suspected_by_others",
          {{"backend_id", backend.value()},
           {"reporters", static_cast<std::uint64_t>(told.reporters)},
           {"silent_flows", static_cast<std::uint64_t>(told.flows)},
           {"attempt_age_ms", toMilliseconds(time_source_.monotonicTime() - told.attempt_at)}});
    }
  }
  believed_ = std::move(named);
}

void SharedEvidence::believeZones() {
  std::map<ZoneId, MonotonicTime> zones_out;
  for (const ZoneId zone : zonesInDoubt()) {
    if (isZoneSilent(zone)) {
      const auto before = zones_out_.find(zone);
      const bool is_new = before == zones_out_.end();
      zones_out[zone] = is_new ? time_source_.monotonicTime() : before->second;
    }
  }
  if (namesOf(zones_out) != namesOf(zones_out_)) {
    log_.write(LogLevel::Info, "flow", "zones_out_of_reach",
               {{"zones", namesOf(zones_out)},
                {"zones_before", namesOf(zones_out_)},
                {"servers_named", static_cast<std::uint64_t>(told_.size())}});
  }
  zones_out_ = std::move(zones_out);
}

std::string SharedEvidence::namesOf(const std::map<ZoneId, MonotonicTime>& zones) const {
  std::string names;
  for (const auto& [zone, since] : zones) {
    const auto name = zone_names_.find(zone);
    names += (names.empty() ? "" : " ") + (name == zone_names_.end() ? "?" : name->second);
  }
  return names;
}

std::set<ZoneId> SharedEvidence::zonesInDoubt() const {
  std::unordered_map<ZoneId, std::size_t> named;
  std::set<ZoneId> zones;
  for (const auto& [backend, told] : told_) {
    const ZoneId zone = backends_.at(backend).zone;
    named[zone] += isUnanswered(backend, told) ? 1 : 0;
    if (named[zone] >= settings_.servers_of_zone) {
      zones.insert(zone);
    }
  }
  return zones;
}

bool SharedEvidence::isZoneSilent(ZoneId zone) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool answers_lately = now - lastLifeIn(zone) < settings_.zone_silence ||
                              now - objectedAt(zone) < settings_.objection_lifetime;
  if (answers_lately || !otherZoneAnswers(zone)) {
    return false;
  }
  bool seen_by_self = false;
  bool seen_by_another = false;
  for (const auto& [backend, told] : told_) {
    if (backends_.at(backend).zone == zone && isUnanswered(backend, told)) {
      const bool by_self = own_.isSuspect(backend);
      seen_by_self = seen_by_self || by_self;
      seen_by_another = seen_by_another || !by_self || told.reporters >= settings_.reporters_needed;
    }
  }
  return seen_by_self && seen_by_another;
}

MonotonicTime SharedEvidence::objectedAt(ZoneId zone) const {
  const auto found = objections_.find(zone);
  return found == objections_.end() ? MonotonicTime() : found->second;
}

MonotonicTime SharedEvidence::lastLifeIn(ZoneId zone) const {
  MonotonicTime last;
  for (const auto& [backend, known] : backends_) {
    if (known.zone == zone) {
      last = std::max(last, lifeOf(backend));
    }
  }
  return last;
}

bool SharedEvidence::otherZoneAnswers(ZoneId zone) const {
  const MonotonicTime earliest = time_source_.monotonicTime() - kZoneAnswers;
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    return entry.second.zone != zone && own_.lifeAt(entry.first) >= earliest;
  });
}

bool SharedEvidence::isSuspect(BackendId backend) const {
  if (own_.isSuspect(backend)) {
    return true;
  }
  if (!believed_.contains(backend)) {
    return false;
  }
  const Duration silent_for = time_source_.monotonicTime() - lifeOf(backend);
  return silent_for >= settings_.dead_after || !isUnderPressure(backends_.at(backend).service);
}

bool SharedEvidence::isOutOfReach(BackendId backend) const {
  if (zones_out_.empty()) {
    return false;
  }
  const auto known = backends_.find(backend);
  return known != backends_.end() && zones_out_.contains(known->second.zone);
}

std::optional<DeathEvidence> SharedEvidence::deathOf(BackendId backend,
                                                     std::uint16_t repetitions) const {
  const auto known = backends_.find(backend);
  if (repetitions == 0 || known == backends_.end() || isUnderPressure(known->second.service)) {
    return std::nullopt;
  }
  const auto by_zone = deathOfZone(backend, repetitions);
  return by_zone ? by_zone : deathOfServer(backend, repetitions);
}

std::optional<DeathEvidence> SharedEvidence::deathOfZone(BackendId backend,
                                                         std::uint16_t repetitions) const {
  const auto zone = zoneOf(backend);
  const auto out = zone ? zones_out_.find(*zone) : zones_out_.end();
  if (out == zones_out_.end() || repetitions < repetitionsNeeded()) {
    return std::nullopt;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  const MonotonicTime life_at = lastLifeIn(*zone);
  const Duration silent_for = now - std::max(life_at, behind_at_);
  const MonotonicTime told_since = std::max(out->second, behind_at_);
  if (silent_for < settings_.dead_after || now - told_since < settings_.objection_time) {
    return std::nullopt;
  }
  const bool has_shown_life = life_at != MonotonicTime();
  DeathEvidence evidence{true, 0, 0, has_shown_life ? silent_for : Duration::zero()};
  for (const auto& [other, told] : told_) {
    if (zoneOf(other) == zone) {
      evidence.reporters = std::max(evidence.reporters, told.reporters);
      evidence.flows += told.flows;
    }
  }
  return evidence;
}

std::optional<DeathEvidence> SharedEvidence::deathOfServer(BackendId backend,
                                                           std::uint16_t repetitions) const {
  if (!believed_.contains(backend)) {
    return std::nullopt;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  const ToldSilence& told = told_.at(backend);
  const MonotonicTime life_at = lifeOf(backend);
  // By the flow's own repetitions: one that others answer must not be reset for their losses.
  const bool is_certain =
      repetitions >= repetitionsNeeded() && told.flows >= settings_.flows_of_dead &&
      now - std::max(life_at, behind_at_) >= settings_.dead_after &&
      now - std::max(told.first_told_at, behind_at_) >= settings_.objection_time &&
      !own_.manyLookSilent();
  if (!is_certain) {
    return std::nullopt;
  }
  return DeathEvidence{false, told.reporters, told.flows,
                       life_at == MonotonicTime() ? Duration::zero() : now - life_at};
}

std::uint16_t SharedEvidence::repetitionsNeeded() const {
  const bool remembers = time_source_.monotonicTime() - told_survived_at_ <= kSurvivedMemory;
  const std::uint16_t survived = remembers ? told_survived_ : std::uint16_t{0};
  return std::max<std::uint16_t>(own_.repetitionsOfDead(), survived + 1);
}

std::optional<ZoneId> SharedEvidence::zoneOf(BackendId backend) const {
  const auto known = backends_.find(backend);
  return known == backends_.end() ? std::nullopt : std::optional<ZoneId>(known->second.zone);
}

MonotonicTime SharedEvidence::lifeOf(BackendId backend) const {
  const auto told = told_life_.find(backend);
  const MonotonicTime told_at = told == told_life_.end() ? MonotonicTime() : told->second;
  return std::max(told_at, own_.lifeAt(backend));
}

bool SharedEvidence::isFresh(MonotonicTime attempt_at) const {
  return time_source_.monotonicTime() - attempt_at <= settings_.fresh_for;
}

}  // namespace lugfork
