#include "cluster/probe_assignment.h"

#include <algorithm>
#include <map>

namespace lugfork {

namespace {

/** Rendezvous weight of a balancer for a backend: 64-bit mix finalizer over both ids. */
std::uint64_t rendezvousWeight(NodeId node, BackendId backend) {
  std::uint64_t value = node.value() ^ (backend.value() * 0x9e3779b97f4a7c15ULL);
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/** @return true if fewer than the wanted number of other nodes rank above this node. */
bool ranksAmongTop(NodeId self, BackendId backend, const std::vector<NodeId>& others,
                   std::size_t wanted) {
  const std::uint64_t self_weight = rendezvousWeight(self, backend);
  std::size_t above = 0;
  for (const NodeId other : others) {
    above += rendezvousWeight(other, backend) > self_weight ? 1 : 0;
    if (above >= wanted) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::vector<BackendId> assignProbes(const ConfigurationView& configuration,
                                    const MemberRecord& self, const std::vector<MemberRecord>& live,
                                    std::size_t probers_per_backend) {
  std::map<ZoneId, std::vector<NodeId>> by_zone;
  std::vector<NodeId> all;
  for (const MemberRecord& member : live) {
    const NodeId id = nodeIdFromName(member.name);
    all.push_back(id);
    if (const Zone* zone = configuration.zoneNamed(member.zone)) {
      by_zone[zone->id].push_back(id);
    }
  }
  const Zone* local_zone = configuration.zoneNamed(self.zone);
  const NodeId self_id = nodeIdFromName(self.name);
  std::vector<BackendId> assigned;
  for (const Backend& backend : configuration.document().backends) {
    const bool in_local_zone = local_zone != nullptr && backend.zone == local_zone->id;
    const auto zone_members = by_zone.find(backend.zone);
    const bool zone_has_members = in_local_zone || zone_members != by_zone.end();
    if (zone_has_members && !in_local_zone) {
      continue;
    }
    static const std::vector<NodeId> kNoNodes;
    const std::vector<NodeId>& in_zone =
        zone_members == by_zone.end() ? kNoNodes : zone_members->second;
    const std::vector<NodeId>& others = in_local_zone ? in_zone : all;
    if (ranksAmongTop(self_id, backend.id, others, probers_per_backend)) {
      assigned.push_back(backend.id);
    }
  }
  return assigned;
}

void BackendProbeSchedule::setAssignment(std::vector<BackendId> backends) {
  backends_ = std::move(backends);
}

std::vector<BackendId> BackendProbeSchedule::due(MonotonicTime now) {
  std::vector<BackendId> due;
  if (backends_.empty()) {
    return due;
  }
  const Duration step = interval() / static_cast<std::int64_t>(backends_.size());
  // After a pause the schedule restarts instead of catching up on missed probes.
  next_at_ = std::max(next_at_, now - std::min<Duration>(interval(), seconds(1)));
  while (next_at_ <= now && due.size() < backends_.size()) {
    next_at_ += step;
    next_ = (next_ + 1) % backends_.size();
    due.push_back(backends_[next_]);
  }
  return due;
}

Duration BackendProbeSchedule::interval() const {
  const auto interval_at_max_rate = seconds(1) * static_cast<std::int64_t>(backends_.size()) /
                                    static_cast<std::int64_t>(settings_.max_probes_per_second);
  return std::max(settings_.min_interval,
                  std::chrono::duration_cast<Duration>(interval_at_max_rate));
}

}  // namespace lugfork
