#include "flow/backend_load_table.h"

#include <algorithm>

namespace lugfork {

namespace {

double loadOf(const Backend& backend, double connections, double requests) {
  const double connection_load = connections / backend.connections;
  const double slot_load = requests / backend.slots;
  return std::max(connection_load, slot_load);
}

}  // namespace

bool BackendLoadTable::onReport(const BackendReport& report) {
  Entry& entry = entries_[report.backend];
  if (entry.has_report && report.measured_at_ms <= entry.report.measured_at_ms) {
    return false;
  }
  const bool restarted = entry.has_report && report.uptime_ms < entry.report.uptime_ms;
  if (restarted) {
    entry.draining_seen = false;
  }
  entry.report = report;
  entry.has_report = true;
  entry.report_received_at = time_source_.monotonicTime();
  entry.placed_since_report = 0;
  return true;
}

void BackendLoadTable::onPlaced(BackendId backend) {
  ++entries_[backend].placed_since_report;
}

void BackendLoadTable::onRefusal(BackendId backend, Duration retry_after) {
  entries_[backend].no_new_work_until = time_source_.monotonicTime() + retry_after;
}

void BackendLoadTable::onDrainingSeen(BackendId backend) {
  entries_[backend].draining_seen = true;
}

bool BackendLoadTable::mayPlace(const Backend& backend) const {
  if (backend.draining) {
    return false;
  }
  const Entry* entry = find(backend.id);
  if (entry == nullptr) {
    return true;
  }
  if (entry->draining_seen || time_source_.monotonicTime() < entry->no_new_work_until) {
    return false;
  }
  if (!reportIsCurrent(*entry)) {
    return true;
  }
  return entry->report.reachable && !entry->report.draining;
}

double BackendLoadTable::estimatedLoad(const Backend& backend) const {
  const Entry* entry = find(backend.id);
  if (entry == nullptr) {
    return 0;
  }
  const double placed = static_cast<double>(entry->placed_since_report) * live_balancers_;
  if (!reportIsCurrent(*entry)) {
    return loadOf(backend, placed, placed);
  }
  const BackendReport& report = entry->report;
  const double requests = report.busy_slots + report.queued_requests + placed;
  return loadOf(backend, report.open_connections + placed, requests) / startupShare(*entry);
}

double BackendLoadTable::reportedLoad(const Backend& backend) const {
  const Entry* entry = find(backend.id);
  if (entry == nullptr || !reportIsCurrent(*entry)) {
    return 0;
  }
  const BackendReport& report = entry->report;
  return loadOf(backend, report.open_connections, report.busy_slots + report.queued_requests);
}

const BackendReport* BackendLoadTable::lastReport(BackendId backend) const {
  const Entry* entry = find(backend);
  return entry != nullptr && entry->has_report ? &entry->report : nullptr;
}

const BackendLoadTable::Entry* BackendLoadTable::find(BackendId backend) const {
  const auto found = entries_.find(backend);
  return found == entries_.end() ? nullptr : &found->second;
}

bool BackendLoadTable::reportIsCurrent(const Entry& entry) const {
  const Duration age = time_source_.monotonicTime() - entry.report_received_at;
  return entry.has_report && age < settings_.report_lifetime;
}

double BackendLoadTable::startupShare(const Entry& entry) const {
  const Duration since_report = time_source_.monotonicTime() - entry.report_received_at;
  const Duration uptime = milliseconds(entry.report.uptime_ms) + since_report;
  if (uptime >= settings_.slow_start) {
    return 1;
  }
  const double progress =
      static_cast<double>(uptime.count()) / static_cast<double>(settings_.slow_start.count());
  return std::max(settings_.slow_start_floor, progress);
}

}  // namespace lugfork
