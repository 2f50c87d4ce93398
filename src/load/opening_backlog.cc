#include "load/opening_backlog.h"

#include <algorithm>
#include <utility>

namespace lugfork {

void OpeningBacklog::add(WaitingOpening opening) {
  const auto same =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const WaitingOpening& waiting) { return waiting.flow == opening.flow; });
  if (same != waiting_.end()) {
    join(*same, std::move(opening));
    std::rotate(same, same + 1, waiting_.end());
    ++counters_.joined;
    return;
  }
  if (opening.copies > 0 && wasJustServed(opening.flow, opening.read_at)) {
    ++counters_.joined;
    return;
  }
  if (waiting_.size() >= settings_.size) {
    waiting_.pop_front();
    ++counters_.crowded_out;
  }
  waiting_.push_back(std::move(opening));
}

void OpeningBacklog::join(WaitingOpening& waiting, WaitingOpening copy) {
  const bool was_whole_here = waiting.isWholeHere();
  const std::uint32_t joined = waiting.joined + 1;
  // The earlier bytes tell the router that no server was asked yet; they hold while all are here.
  if (!was_whole_here || copy.copies != joined) {
    waiting.bytes = std::move(copy.bytes);
  }
  waiting.joined = joined;
  waiting.copies = copy.copies;
  waiting.read_at = copy.read_at;
  waiting.waits_since = copy.waits_since;
  waiting.oldest_arrival = copy.oldest_arrival;
}

void OpeningBacklog::onGivenUp(const FlowId& flow) {
  counters_.given_up +=
      std::erase_if(waiting_, [&](const WaitingOpening& waiting) { return waiting.flow == flow; });
}

std::optional<WaitingOpening> OpeningBacklog::take(MonotonicTime now) {
  counters_.outlived += std::erase_if(
      waiting_, [&](const WaitingOpening& waiting) { return isOutlived(waiting, now); });
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const bool newest_first = now - waiting_.front().read_at >= settings_.newest_first_after;
  const auto next = newest_first ? latestBegun() : waiting_.begin();
  WaitingOpening taken = std::move(*next);
  waiting_.erase(next);
  if (served_.size() >= settings_.size) {
    served_.pop_front();
  }
  served_.emplace_back(taken.flow, now);
  return taken;
}

bool OpeningBacklog::wasJustServed(const FlowId& flow, MonotonicTime now) {
  while (!served_.empty() && now - served_.front().second >= settings_.answered_in) {
    served_.pop_front();
  }
  return std::any_of(served_.begin(), served_.end(),
                     [&](const auto& served) { return served.first == flow; });
}

std::optional<WaitingOpening> OpeningBacklog::takeToReject(MonotonicTime now) {
  if (!settings_.rejects) {
    return std::nullopt;
  }
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const WaitingOpening& waiting) {
        return waiting.copies == 0 && now - waiting.read_at >= settings_.certain_for / 2 &&
               now - waiting.oldest_arrival <= settings_.certain_for;
      });
  if (found == waiting_.end()) {
    return std::nullopt;
  }
  WaitingOpening taken = std::move(*found);
  waiting_.erase(found);
  return taken;
}

std::size_t OpeningBacklog::copyOf(const WaitingOpening& opening) const {
  return std::min<std::size_t>(opening.copies, settings_.sent_after.size() - 1);
}

MonotonicTime OpeningBacklog::begunAt(const WaitingOpening& opening) const {
  return opening.read_at - settings_.sent_after[copyOf(opening)];
}

std::deque<WaitingOpening>::iterator OpeningBacklog::latestBegun() {
  return std::max_element(waiting_.begin(), waiting_.end(),
                          [this](const WaitingOpening& one, const WaitingOpening& other) {
                            return begunAt(one) <= begunAt(other);
                          });
}

bool OpeningBacklog::isOutlived(const WaitingOpening& opening, MonotonicTime now) const {
  return now - opening.read_at >= settings_.useful_for[copyOf(opening)];
}

}  // namespace lugfork
