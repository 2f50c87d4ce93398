#include "flow/cold_server_limit.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** The bound is for any second; a bit longer, since packets of a slow machine bunch on their way.
 */
constexpr Duration kWindow = milliseconds(1100);
/** Sets of owners that may exist at once: parts of the fleet that don't know each other. */
constexpr double kSetsOfOwners = 2;

}  // namespace

ColdServerLimit::ColdServerLimit(ColdServerLimitSettings settings, const TimeSource& time_source)
    : settings_(settings), time_source_(time_source), started_at_(time_source.monotonicTime()) {}

bool ColdServerLimit::isLimited(const Backend& backend) const {
  return backend.cold_flows_per_second > 0 && time_source_.monotonicTime() < backend.cold_until;
}

std::size_t ColdServerLimit::ownPart(const Backend& backend) const {
  const double bound = backend.cold_flows_per_second * settings_.overage + settings_.slack;
  return static_cast<std::size_t>(std::floor(bound / (kSetsOfOwners * kOwnersOfColdServer)));
}

bool ColdServerLimit::admits(const Backend& backend) const {
  if (!isLimited(backend)) {
    return true;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  if (now - started_at_ < settings_.start_delay) {
    return false;
  }
  if (is_owner_ && !is_owner_(backend.server_id)) {
    return false;
  }
  const auto found = sent_.find(backend.id);
  if (found == sent_.end()) {
    return ownPart(backend) > 0;
  }
  const auto recent =
      std::count_if(found->second.begin(), found->second.end(),
                    [&](MonotonicTime sent_at) { return now - sent_at <= kWindow; });
  return static_cast<std::size_t>(recent) < ownPart(backend);
}

void ColdServerLimit::onPlaced(const Backend& backend) {
  if (!isLimited(backend)) {
    sent_.erase(backend.id);
    return;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  std::deque<MonotonicTime>& sent = sent_[backend.id];
  std::erase_if(sent, [&](MonotonicTime sent_at) { return now - sent_at > kWindow; });
  sent.push_back(now);
}

}  // namespace lugfork
