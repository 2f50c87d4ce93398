#include "flow/backend_load_table.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

/** Weight of a new sample in the smoothed placement rate, residence time and number of requests. */
constexpr double kSmoothing = 0.3;

/** Minimum weight of a report that may exclude a backend from placement. */
constexpr double kMinReportWeight = 0.5;

/**
 * Residence times after which the excess of a report over the smoothed number has decayed to 1/e.
 */
constexpr double kExcessTimeConstant = 3;

/**
 * Minimum number of placements that a balancer may have present on a backend with free capacity.
 */
constexpr double kMinPlacements = 1;

/**
 * Fraction of a placement by which the limit may be exceeded, since placements are whole numbers.
 */
constexpr double kPlacementSlack = 0.5;

double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double smoothed(double old_value, double sample) {
  return old_value + kSmoothing * (sample - old_value);
}

std::uint32_t requestsIn(const BackendReport& report) {
  return report.busy_slots + report.queued_requests;
}

double loadOf(const Backend& backend, const BackendReport& report) {
  const double connection_load = static_cast<double>(report.open_connections) / backend.connections;
  const double slot_load = static_cast<double>(requestsIn(report)) / backend.slots;
  return std::max(connection_load, slot_load);
}

}  // namespace

bool BackendLoadTable::onReport(const BackendReport& report) {
  has_reports_ = true;
  Entry& entry = entries_[report.backend];
  if (entry.has_report && report.measured_at_ms <= entry.report.measured_at_ms) {
    return false;
  }
  const bool restarted = report.reachable && report.uptime_ms < entry.last_uptime_ms;
  if (report.reachable) {
    updateDraining(entry, report);
  }
  const MonotonicTime now = time_source_.monotonicTime();
  // Placements made while the report was in transit are not in its numbers yet.
  const double lag_ms = static_cast<double>(toUnixMilliseconds(time_source_.systemTime())) -
                        static_cast<double>(report.measured_at_ms);
  const double interval_ms = 1000 * toSeconds(now - entry.report_received_at);
  const double kept_fraction = entry.has_report && interval_ms > 0 ? lag_ms / interval_ms : 0;
  entry.placed = presentPlacements(entry) * std::clamp(kept_fraction, 0.0, 1.0);
  entry.placed_at = now;
  entry.report_lag = std::max(0.0, lag_ms / 1000);
  const double requests = requestsIn(report);
  const bool has_history = entry.has_report && !restarted;
  entry.smoothed_requests = has_history ? smoothed(entry.smoothed_requests, requests) : requests;
  entry.report = report;
  entry.has_report = true;
  entry.report_received_at = now;
  return true;
}

void BackendLoadTable::onPlaced(const Backend& backend) {
  Entry& entry = entries_[backend.id];
  entry.service = backend.service;
  entry.placed = presentPlacements(entry) + 1;
  entry.placed_at = time_source_.monotonicTime();
  ++services_[backend.service].placements;
}

void BackendLoadTable::onRefusal(BackendId backend, Duration retry_after) {
  entries_[backend].no_new_work_until = time_source_.monotonicTime() + retry_after;
}

void BackendLoadTable::onDrainingRefusal(BackendId backend) {
  has_reports_ = true;
  entries_[backend].refused_as_draining_ms = toUnixMilliseconds(time_source_.systemTime());
}

void BackendLoadTable::refreshService(ServiceId service, std::span<const Backend* const> backends) {
  double load_sum = 0;
  double requests = 0;
  std::size_t reported = 0;
  for (const Backend* backend : backends) {
    const auto found = entries_.find(backend->id);
    if (found == entries_.end()) {
      continue;
    }
    Entry* entry = &found->second;
    entry->service = service;
    if (!reportIsCurrent(*entry) || !entry->report.reachable) {
      continue;
    }
    load_sum += loadOf(*backend, entry->report);
    requests += requestsIn(entry->report);
    ++reported;
  }
  ServiceLoad& load = services_[service];
  updatePlacementRate(load);
  if (reported == 0) {
    return;
  }
  load.mean_load = load_sum / static_cast<double>(reported);
  if (load.placement_rate <= 0) {
    return;
  }
  const double all_requests =
      requests * static_cast<double>(backends.size()) / static_cast<double>(reported);
  const double sample =
      std::clamp(all_requests / load.placement_rate, toSeconds(settings_.min_residence),
                 toSeconds(settings_.max_residence));
  const double residence = smoothed(toSeconds(load.residence), sample);
  load.residence = Duration(static_cast<std::int64_t>(residence * 1e6));
}

void BackendLoadTable::updatePlacementRate(ServiceLoad& load) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const double elapsed = toSeconds(now - load.refreshed_at);
  if (load.refreshed_at != MonotonicTime() && elapsed > 0) {
    const double placements = static_cast<double>(load.placements) * live_balancers_;
    load.placement_rate = smoothed(load.placement_rate, placements / elapsed);
  }
  load.placements = 0;
  load.refreshed_at = now;
}

bool BackendLoadTable::isDraining(const Backend& backend) const {
  if (backend.draining || !has_reports_) {
    return backend.draining;
  }
  const Entry* entry = find(backend.id);
  if (entry == nullptr) {
    return false;
  }
  // Unlike the load, this does not expire: only the backend itself revokes it.
  return entry->reported_draining || entry->refused_as_draining_ms != 0;
}

bool BackendLoadTable::acceptsNewWork(const Backend& backend) const {
  const Entry* entry = find(backend.id);
  const bool refused_lately =
      entry != nullptr && time_source_.monotonicTime() < entry->no_new_work_until;
  return !refused_lately && !isDraining(backend);
}

bool BackendLoadTable::looksReachable(const Backend& backend) const {
  if (!has_reports_) {
    return true;
  }
  const Entry* entry = find(backend.id);
  return entry == nullptr || !stateIsCurrent(*entry) || entry->report.reachable;
}

bool BackendLoadTable::isFull(const Backend& backend, double full_load) const {
  const Entry* entry = find(backend.id);
  if (entry == nullptr || reportWeight(*entry) < kMinReportWeight) {
    return false;
  }
  const BackendReport& report = entry->report;
  const double slow_start_fraction = slowStartFraction(*entry);
  const double free_connections = static_cast<double>(backend.connections) * slow_start_fraction -
                                  static_cast<double>(report.open_connections);
  const double free_slots =
      backend.slots * full_load * slow_start_fraction - reportedRequestsNow(*entry);
  const double free_capacity = std::min(free_connections, free_slots);
  if (free_capacity <= 0) {
    return true;
  }
  const double max_placements = std::max(kMinPlacements, free_capacity / live_balancers_);
  return presentPlacements(*entry) > max_placements - kPlacementSlack;
}

bool BackendLoadTable::hasFreeSlot(const Backend& backend) const {
  const Entry* entry = find(backend.id);
  return entry != nullptr && reportWeight(*entry) >= kMinReportWeight &&
         loadOf(backend, entry->report) < 1;
}

double BackendLoadTable::estimatedLoad(const Backend& backend) const {
  const ServiceLoad* service = findService(backend.service);
  const double mean_load = service == nullptr ? 0 : service->mean_load;
  const Entry* entry = find(backend.id);
  if (entry == nullptr) {
    return mean_load;
  }
  const double weight = reportWeight(*entry);
  const double connection_load =
      static_cast<double>(entry->report.open_connections) / backend.connections;
  const double reported =
      weight > 0 ? std::max(connection_load, reportedRequestsNow(*entry) / backend.slots) : 0;
  const double peers = settings_.peer_placement_weight * (live_balancers_ - 1);
  const double placed = presentPlacements(*entry) * (1 + peers) / backend.slots;
  const double floored_load = std::max(reported, settings_.min_report_ratio * mean_load);
  const double load = weight * floored_load + (1 - weight) * mean_load + placed;
  return weight > 0 ? load / slowStartFraction(*entry) : load;
}

double BackendLoadTable::reportedLoad(const Backend& backend) const {
  const Entry* entry = find(backend.id);
  return entry == nullptr || !reportIsCurrent(*entry) ? 0 : loadOf(backend, entry->report);
}

Duration BackendLoadTable::residence(ServiceId service) const {
  const ServiceLoad* load = findService(service);
  const Duration residence = load == nullptr ? Duration::zero() : load->residence;
  return std::clamp(residence, settings_.min_residence, settings_.max_residence);
}

const BackendReport* BackendLoadTable::lastReport(BackendId backend) const {
  const Entry* entry = find(backend);
  return entry != nullptr && entry->has_report ? &entry->report : nullptr;
}

const BackendLoadTable::Entry* BackendLoadTable::find(BackendId backend) const {
  const auto found = entries_.find(backend);
  return found == entries_.end() ? nullptr : &found->second;
}

const BackendLoadTable::ServiceLoad* BackendLoadTable::findService(ServiceId service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

void BackendLoadTable::updateDraining(Entry& entry, const BackendReport& report) {
  const bool restarted = report.uptime_ms < entry.last_uptime_ms;
  const auto hold_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(settings_.draining_refusal_ttl).count());
  const bool hold_passed = report.measured_at_ms >= entry.refused_as_draining_ms + hold_ms;
  entry.last_uptime_ms = report.uptime_ms;
  entry.reported_draining = report.draining;
  if (!report.draining && (restarted || hold_passed)) {
    entry.refused_as_draining_ms = 0;
  }
}

bool BackendLoadTable::stateIsCurrent(const Entry& entry) const {
  const Duration age = time_source_.monotonicTime() - entry.report_received_at;
  return entry.has_report && age < settings_.state_ttl;
}

bool BackendLoadTable::reportIsCurrent(const Entry& entry) const {
  return reportWeight(entry) > 0;
}

double BackendLoadTable::reportWeight(const Entry& entry) const {
  if (!entry.has_report) {
    return 0;
  }
  const Duration age = time_source_.monotonicTime() - entry.report_received_at;
  const double age_fraction = toSeconds(age) / toSeconds(settings_.report_ttl);
  return std::max(0.0, 1 - age_fraction * age_fraction);
}

double BackendLoadTable::reportedRequestsNow(const Entry& entry) const {
  const double age =
      toSeconds(time_source_.monotonicTime() - entry.report_received_at) + entry.report_lag;
  const double time_constant = kExcessTimeConstant * toSeconds(residence(entry.service));
  const double excess = requestsIn(entry.report) - entry.smoothed_requests;
  return entry.smoothed_requests + excess * std::exp(-age / time_constant);
}

double BackendLoadTable::presentPlacements(const Entry& entry) const {
  if (entry.placed == 0) {
    return 0;
  }
  const Duration age = time_source_.monotonicTime() - entry.placed_at;
  return entry.placed * std::exp(-toSeconds(age) / (settings_.placement_time_constant *
                                                    toSeconds(residence(entry.service))));
}

double BackendLoadTable::slowStartFraction(const Entry& entry) const {
  const Duration since_report = time_source_.monotonicTime() - entry.report_received_at;
  const Duration uptime = milliseconds(entry.report.uptime_ms) + since_report;
  if (uptime >= settings_.slow_start_duration) {
    return 1;
  }
  const double progress = static_cast<double>(uptime.count()) /
                          static_cast<double>(settings_.slow_start_duration.count());
  return std::max(settings_.min_slow_start_fraction, progress);
}

}  // namespace lugfork
