#include "cluster/view_lease.h"

#include <algorithm>

namespace lugfork {

ViewLease::ViewLease(ViewLeaseSettings settings, const TimeSource& time_source)
    : settings_(settings),
      time_source_(time_source),
      last_tick_(time_source.monotonicTime()),
      running_since_(last_tick_) {}

bool ViewLease::onTick() {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool paused = now - last_tick_ >= settings_.pause_threshold;
  last_tick_ = now;
  if (paused) {
    running_since_ = now;
  }
  return paused;
}

void ViewLease::onConfirmed(MonotonicTime requested_at) {
  confirmed_at_ = std::max(confirmed_at_, requested_at);
}

ViewState ViewLease::state() const {
  if (!settings_.enabled) {
    return ViewState::Fresh;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  if (now - confirmed_at_ < settings_.lease) {
    return ViewState::Fresh;
  }
  const bool paused = now - last_tick_ >= settings_.pause_threshold;
  const MonotonicTime waiting_since = std::max(running_since_, confirmed_at_ + settings_.lease);
  const bool waited = now - waiting_since >= settings_.isolation_timeout;
  return !paused && waited ? ViewState::Degraded : ViewState::Stale;
}

bool ViewLease::needsConfirmation() const {
  return time_source_.monotonicTime() - confirmed_at_ >= settings_.lease / 2;
}

}  // namespace lugfork
