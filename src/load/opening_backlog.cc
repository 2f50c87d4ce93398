#include "load/opening_backlog.h"

#include <algorithm>
#include <utility>

namespace lugfork {

void OpeningBacklog::add(PendingOpening opening) {
  const auto existing =
      std::find_if(pending_.begin(), pending_.end(),
                   [&](const PendingOpening& pending) { return pending.flow == opening.flow; });
  if (existing != pending_.end()) {
    merge(*existing, std::move(opening));
    std::rotate(existing, existing + 1, pending_.end());
    ++counters_.merged;
    return;
  }
  if (opening.retransmissions > 0 && wasRecentlyServed(opening.flow, opening.read_at)) {
    ++counters_.merged;
    return;
  }
  if (pending_.size() >= settings_.max_openings) {
    pending_.pop_front();
    ++counters_.evicted;
  }
  pending_.push_back(std::move(opening));
}

void OpeningBacklog::merge(PendingOpening& pending, PendingOpening later) {
  const bool had_all_transmissions = pending.hasAllTransmissions();
  const std::uint32_t merged = pending.merged + 1;
  // The bytes of the earlier transmission indicate that no backend was asked yet, which is true as
  // long as all transmissions were queued here.
  if (!had_all_transmissions || later.retransmissions != merged) {
    pending.bytes = std::move(later.bytes);
  }
  pending.merged = merged;
  pending.retransmissions = later.retransmissions;
  pending.read_at = later.read_at;
  pending.queued_since = later.queued_since;
  pending.earliest_arrival = later.earliest_arrival;
}

void OpeningBacklog::onAbandoned(const FlowId& flow) {
  counters_.abandoned +=
      std::erase_if(pending_, [&](const PendingOpening& pending) { return pending.flow == flow; });
}

std::optional<PendingOpening> OpeningBacklog::take(MonotonicTime now) {
  counters_.expired += std::erase_if(
      pending_, [&](const PendingOpening& pending) { return isExpired(pending, now); });
  if (pending_.empty()) {
    return std::nullopt;
  }
  const bool newest_first = now - pending_.front().read_at >= settings_.newest_first_delay;
  const auto next = newest_first ? latestStarted() : pending_.begin();
  PendingOpening taken = std::move(*next);
  pending_.erase(next);
  if (served_.size() >= settings_.max_openings) {
    served_.pop_front();
  }
  served_.emplace_back(taken.flow, now);
  return taken;
}

bool OpeningBacklog::wasRecentlyServed(const FlowId& flow, MonotonicTime now) {
  while (!served_.empty() && now - served_.front().second >= settings_.duplicate_window) {
    served_.pop_front();
  }
  return std::any_of(served_.begin(), served_.end(),
                     [&](const auto& served) { return served.first == flow; });
}

std::optional<PendingOpening> OpeningBacklog::takeForRejection(MonotonicTime now) {
  if (!settings_.rejects_late) {
    return std::nullopt;
  }
  const auto selected =
      std::find_if(pending_.begin(), pending_.end(), [&](const PendingOpening& pending) {
        return pending.retransmissions == 0 &&
               now - pending.read_at >= settings_.exclusive_window / 2 &&
               now - pending.earliest_arrival <= settings_.exclusive_window;
      });
  if (selected == pending_.end()) {
    return std::nullopt;
  }
  PendingOpening taken = std::move(*selected);
  pending_.erase(selected);
  return taken;
}

std::size_t OpeningBacklog::transmissionIndex(const PendingOpening& opening) const {
  return std::min<std::size_t>(opening.retransmissions, settings_.transmission_offsets.size() - 1);
}

MonotonicTime OpeningBacklog::startedAt(const PendingOpening& opening) const {
  return opening.read_at - settings_.transmission_offsets[transmissionIndex(opening)];
}

std::deque<PendingOpening>::iterator OpeningBacklog::latestStarted() {
  return std::max_element(pending_.begin(), pending_.end(),
                          [this](const PendingOpening& one, const PendingOpening& other) {
                            return startedAt(one) <= startedAt(other);
                          });
}

bool OpeningBacklog::isExpired(const PendingOpening& opening, MonotonicTime now) const {
  return now - opening.read_at >= settings_.transmission_ttls[transmissionIndex(opening)];
}

}  // namespace lugfork
