#include "cluster/load_gossip.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Minimum absolute difference of a count that is significant. */
constexpr double kMinSignificantChange = 2;
/** Timestamps ahead of the local clock are capped at this skew [ms]. */
constexpr std::uint64_t kMaxClockSkewMs = 1000;

bool isHealthy(const BackendObservation& observation) {
  return observation.report.reachable && !observation.report.draining &&
         !observation.self_announced;
}

std::uint64_t startedAtMs(const BackendReport& report) {
  return report.measured_at_ms - std::min<std::uint64_t>(report.measured_at_ms, report.uptime_ms);
}

}  // namespace

bool LoadGossip::onObservation(const BackendObservation& observation) {
  BackendObservation taken = observation;
  taken.report.measured_at_ms =
      std::min(taken.report.measured_at_ms, nowMilliseconds() + kMaxClockSkewMs);
  const auto found = entries_.find(taken.report.backend);
  if (found == entries_.end()) {
    Entry& entry = entries_[taken.report.backend];
    entry.observation = taken;
    entry.baseline = taken.report;
    queue(entry,
          isHealthy(taken) ? ObservationPriority::LoadChange : ObservationPriority::StateChange);
    return true;
  }
  Entry& entry = found->second;
  const BackendObservation known = entry.observation;
  const bool newer = taken.report.measured_at_ms > known.report.measured_at_ms;
  const bool first_announcement = taken.self_announced && !known.self_announced &&
                                  startedAtMs(known.report) <= taken.report.measured_at_ms &&
                                  !indicatesRestart(known.report, taken.report);
  if (!newer && !first_announcement) {
    return false;
  }
  // A drain announced by the backend itself stays in effect until the backend restarts.
  const bool restarted = newer && indicatesRestart(taken.report, known.report);
  taken.self_announced = taken.self_announced || (known.self_announced && !restarted);
  if (!newer) {
    taken.report = known.report;
    taken.self_announced = true;
  }
  const ObservationPriority priority = classify(entry, taken);
  const MonotonicTime now = time_source_.monotonicTime();
  const bool refresh_due = now - entry.queued_at >= settings_.refresh_interval;
  const bool changed = priority == ObservationPriority::StateChange;
  entry.observation = taken;
  // A state change that is still being sent continues with the newer report.
  if (changed ||
      (!entry.state_pending && (priority != ObservationPriority::Refresh || refresh_due))) {
    queue(entry, priority);
  }
  return true;
}

bool LoadGossip::onDrainAnnounced(BackendId backend) {
  BackendObservation observation;
  const BackendObservation* known = find(backend);
  if (known != nullptr) {
    observation = *known;
  } else {
    observation.report.backend = backend;
    observation.report.reachable = true;
    observation.report.measured_at_ms = nowMilliseconds();
  }
  if (known != nullptr && known->self_announced) {
    return false;
  }
  observation.self_announced = true;
  return onObservation(observation);
}

std::vector<BackendObservation> LoadGossip::take(ObservationScope scope, std::size_t bytes,
                                                 const ReceiverCounts& receivers) {
  std::vector<Entry*> candidates;
  const std::uint64_t now_ms = nowMilliseconds();
  const auto ttl_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(settings_.report_ttl).count());
  for (auto& [backend, entry] : entries_) {
    const bool state = entry.priority == ObservationPriority::StateChange;
    const bool in_scope =
        scope == ObservationScope::All || state == (scope == ObservationScope::StateChanges);
    const bool unsent = entry.transmissions < transmissionLimit(entry.priority, receivers);
    entry.state_pending = entry.state_pending && unsent;
    const bool current = entry.observation.report.measured_at_ms + ttl_ms > now_ms;
    if (in_scope && unsent && (current || entry.observation.self_announced)) {
      candidates.push_back(&entry);
    }
  }
  const auto more_important = [](const Entry* left, const Entry* right) {
    return std::tie(left->priority, left->transmissions, left->queued_at,
                    left->observation.report.backend) <
           std::tie(right->priority, right->transmissions, right->queued_at,
                    right->observation.report.backend);
  };
  const std::size_t count = std::min(bytes / kObservationBytes, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(), more_important);
  std::vector<BackendObservation> taken;
  for (std::size_t index = 0; index < count; ++index) {
    ++candidates[index]->transmissions;
    taken.push_back(candidates[index]->observation);
  }
  return taken;
}

const BackendObservation* LoadGossip::find(BackendId backend) const {
  const auto found = entries_.find(backend);
  return found == entries_.end() ? nullptr : &found->second.observation;
}

std::vector<BackendObservation> LoadGossip::unhealthy(std::size_t limit) const {
  std::vector<BackendObservation> found;
  for (const auto& [backend, entry] : entries_) {
    if (!isHealthy(entry.observation)) {
      found.push_back(entry.observation);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const BackendObservation& left, const BackendObservation& right) {
              return left.report.backend < right.report.backend;
            });
  found.resize(std::min(found.size(), limit));
  return found;
}

bool LoadGossip::indicatesRestart(const BackendReport& report, const BackendReport& known) {
  // Start times computed for the same process differ by probe delay and clock skew, so the start is
  // compared with the time of the known report.
  return report.reachable && startedAtMs(report) > known.measured_at_ms;
}

ObservationPriority LoadGossip::classify(const Entry& entry,
                                         const BackendObservation& observation) const {
  const BackendReport& before = entry.observation.report;
  const BackendReport& after = observation.report;
  const bool state_changed = before.reachable != after.reachable ||
                             before.draining != after.draining ||
                             entry.observation.self_announced != observation.self_announced ||
                             indicatesRestart(after, before);
  if (state_changed) {
    return ObservationPriority::StateChange;
  }
  const bool significant = isSignificant(entry.baseline.open_connections, after.open_connections) ||
                           isSignificant(entry.baseline.busy_slots + entry.baseline.queued_requests,
                                         after.busy_slots + after.queued_requests);
  return significant ? ObservationPriority::LoadChange : ObservationPriority::Refresh;
}

bool LoadGossip::isSignificant(std::uint32_t before, std::uint32_t after) const {
  const double difference = std::abs(static_cast<double>(after) - static_cast<double>(before));
  return difference >=
         std::max(kMinSignificantChange, settings_.significant_change_fraction * before);
}

std::uint32_t LoadGossip::transmissionLimit(ObservationPriority priority,
                                            const ReceiverCounts& receivers) const {
  const bool state = priority == ObservationPriority::StateChange;
  const std::size_t receiver_count = state ? receivers.fleet : receivers.zone;
  const double scale = std::ceil(std::log2(static_cast<double>(receiver_count + 2)));
  const double factor = state ? settings_.retransmit_factor : 1;
  return static_cast<std::uint32_t>(factor * scale);
}

std::uint64_t LoadGossip::nowMilliseconds() const {
  return toUnixMilliseconds(time_source_.systemTime());
}

void LoadGossip::queue(Entry& entry, ObservationPriority priority) {
  entry.priority = priority;
  entry.transmissions = 0;
  entry.state_pending = priority == ObservationPriority::StateChange;
  entry.queued_at = time_source_.monotonicTime();
  entry.baseline = entry.observation.report;
  urgent_ = urgent_ || priority == ObservationPriority::StateChange;
}

}  // namespace lugfork
