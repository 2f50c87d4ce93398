#include "discovery/probe_schedule.h"

#include <algorithm>
#include <limits>

namespace lugfork {

ProbeSchedule::ProbeSchedule(ProbeScheduleSettings settings, Endpoint local_address,
                             PeerDirectory& directory, const TimeSource& time_source)
    : settings_(settings),
      local_address_(local_address),
      directory_(directory),
      time_source_(time_source) {}

void ProbeSchedule::onStateReceived(std::uint32_t age_ms) {
  state_time_ = std::max(state_time_, time_source_.monotonicTime() - milliseconds(age_ms));
}

void ProbeSchedule::onNoFreshUpstream() {
  if (!no_fresh_upstream_since_) {
    no_fresh_upstream_since_ = time_source_.monotonicTime();
  }
}

void ProbeSchedule::onStoreError() {
  store_failing_ = true;
  onStoreCalled();
}

bool ProbeSchedule::isProbeDue() {
  const auto whole = static_cast<double>(spread().count());
  const Duration local_delay(static_cast<std::int64_t>(rankFraction() * whole));
  return no_fresh_upstream_since_ &&
         time_source_.monotonicTime() - *no_fresh_upstream_since_ >= local_delay;
}

Duration ProbeSchedule::untilDeadline() {
  const Duration age = time_source_.monotonicTime() - state_time_;
  return settings_.budget.probeAge(rankFraction(), spread()) - age;
}

bool ProbeSchedule::mayProbe() {
  const Duration interval = std::max(settings_.store_retry_interval, 2 * spread());
  return !store_failing_ || sinceStoreCall() >= interval;
}

bool ProbeSchedule::mayWatch() const {
  return !store_failing_ || sinceStoreCall() >= settings_.store_retry_interval;
}

Duration ProbeSchedule::spread() {
  const double excess = std::max(0.0, directory_.fleetSize() - settings_.unspread_fleet_size);
  const std::chrono::duration<double> wanted(excess / settings_.probes_per_second);
  const std::chrono::duration<double> longest(settings_.budget.maxSpread());
  return std::chrono::duration_cast<Duration>(std::min(wanted, longest));
}

double ProbeSchedule::rankFraction() const {
  const double all_ranks = static_cast<double>(std::numeric_limits<PeerRank>::max());
  return static_cast<double>(peerRank(local_address_)) / all_ranks;
}

}  // namespace lugfork
