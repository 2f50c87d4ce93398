#include "flow/cold_backend_limit.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/**
 * The bound holds for any second. Slightly longer, since packets of a slow machine come in bursts.
 */
constexpr Duration kWindow = milliseconds(1100);
/**
 * Number of owner sets that may exist at once, one in each group of a partitioned fleet.
 */
constexpr double kMaxOwnerSets = 2;

}  // namespace

ColdBackendLimit::ColdBackendLimit(ColdBackendLimitSettings settings, const TimeSource& time_source)
    : settings_(settings), time_source_(time_source), started_at_(time_source.monotonicTime()) {}

bool ColdBackendLimit::isLimited(const Backend& backend) const {
  return backend.cold_flows_per_second > 0 && time_source_.monotonicTime() < backend.cold_until;
}

std::size_t ColdBackendLimit::localLimit(const Backend& backend) const {
  const double max_flows_per_second =
      backend.cold_flows_per_second * settings_.overage_ratio + settings_.slack_per_second;
  return static_cast<std::size_t>(
      std::floor(max_flows_per_second / (kMaxOwnerSets * kOwnersPerColdBackend)));
}

bool ColdBackendLimit::admits(const Backend& backend) const {
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
  const auto found = placed_at_.find(backend.id);
  if (found == placed_at_.end()) {
    return localLimit(backend) > 0;
  }
  const auto recent =
      std::count_if(found->second.begin(), found->second.end(),
                    [&](MonotonicTime placed_at) { return now - placed_at <= kWindow; });
  return static_cast<std::size_t>(recent) < localLimit(backend);
}

void ColdBackendLimit::onPlaced(const Backend& backend) {
  if (!isLimited(backend)) {
    placed_at_.erase(backend.id);
    return;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  std::deque<MonotonicTime>& placed = placed_at_[backend.id];
  std::erase_if(placed, [&](MonotonicTime placed_at) { return now - placed_at > kWindow; });
  placed.push_back(now);
}

}  // namespace lugfork
