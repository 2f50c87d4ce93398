#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Settings of a ColdBackendLimit. */
struct ColdBackendLimitSettings {
  /** Flows per second that a cold backend may get, as a ratio to the rate that it declares... */
  double overage_ratio = 1.5;
  /** ...plus this many flows per second: the operator's bound for the whole fleet. */
  double slack_per_second = 5;
  /**
   * Time after its start in which this balancer places nothing on cold backends: it has no
   * record of what its previous incarnation placed, and discovers the fleet meanwhile (two
   * exchanges with peers).
   */
  Duration start_delay = seconds(5);
};

/**
 * Balancers that may place flows on one cold backend. Two, so that the loss of one leaves another;
 * the flows of one balancer are a small part of the fleet's, and each may send several a second.
 */
inline constexpr std::size_t kOwnersPerColdBackend = 2;

/**
 * Bounds the total rate of new flows that all balancers place on a backend that is warming up. Each
 * cold backend is assigned to a few owners, which divide half of the bound: so the bound also holds
 * while a partition splits the fleet into two groups that choose owners independently.
 */
class ColdBackendLimit {
 public:
  /** @return true if this balancer is one of the owners of the backend. */
  using IsOwner = std::function<bool(std::uint64_t server_id)>;

  ColdBackendLimit(ColdBackendLimitSettings settings, const TimeSource& time_source);

  /** Sets the ownership function; without one this balancer counts as the only owner. */
  void setIsOwner(IsOwner is_owner) { is_owner_ = std::move(is_owner); }

  /** @return true if the backend is warm, or may get one more flow from this balancer now. */
  bool admits(const Backend& backend) const;

  /** Records that a new flow is placed on the backend. */
  void onPlaced(const Backend& backend);

 private:
  bool isLimited(const Backend& backend) const;
  /** @return the maximum number of flows that this balancer places on the backend per window. */
  std::size_t localLimit(const Backend& backend) const;

  const ColdBackendLimitSettings settings_;
  const TimeSource& time_source_;
  const MonotonicTime started_at_;
  IsOwner is_owner_;
  /** Times of placements on cold backends within the last window. */
  std::unordered_map<BackendId, std::deque<MonotonicTime>> placed_at_;
};

}  // namespace lugfork
