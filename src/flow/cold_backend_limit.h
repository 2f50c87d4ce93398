#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Tunables of a ColdServerLimit. */
struct ColdBackendLimitSettings {
  /** Flows a second that a cold server may get, as a multiple of what it says it bears... */
  double overage_ratio = 1.5;
  /** ...and so many more: the operator's bound for the whole fleet. */
  double slack_per_second = 5;
  /**
   * Time after the start in which cold servers get nothing from this balancer: it does not know
   * what it sent before, and comes to know the fleet meanwhile (two exchanges of peers).
   */
  Duration start_delay = seconds(5);
};

/**
 * Balancers that may send flows to one cold server. Two, so that the loss of one leaves another;
 * the flows of one balancer are a small part of the fleet's, and each may send several a second.
 */
inline constexpr std::size_t kOwnersPerColdBackend = 2;

/**
 * Keeps the sum of the new flows that all balancers send to a server that is still warming up under
 * a bound. Each such server belongs to a few balancers, which divide half of the bound: so the
 * bound also holds where two parts of the fleet don't know each other and each chooses its own
 * owners.
 */
class ColdBackendLimit {
 public:
  /** @return true where this balancer is among the owners of the server. */
  using IsOwner = std::function<bool(std::uint64_t server_id)>;

  ColdBackendLimit(ColdBackendLimitSettings settings, const TimeSource& time_source);

  /** Without it this balancer counts as the only one. */
  void setIsOwner(IsOwner is_owner) { is_owner_ = std::move(is_owner); }

  /** @return true where the server is warm, or may get one more flow from this balancer now. */
  bool admits(const Backend& backend) const;

  /** A new flow goes to the server. */
  void onPlaced(const Backend& backend);

 private:
  bool isLimited(const Backend& backend) const;
  /** @return the most flows that this balancer sends to the server in a window. */
  std::size_t localLimit(const Backend& backend) const;

  const ColdBackendLimitSettings settings_;
  const TimeSource& time_source_;
  const MonotonicTime started_at_;
  IsOwner is_owner_;
  /** When flows were sent to cold servers, within the last window. */
  std::unordered_map<BackendId, std::deque<MonotonicTime>> placed_at_;
};

}  // namespace lugfork
