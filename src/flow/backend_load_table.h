#pragma once

#include <unordered_map>

#include "common/time_source.h"
#include "config/configuration.h"
#include "flow/backend_report.h"

namespace lugfork {

/** Tunables of the load estimate. */
struct LoadEstimateSettings {
  /** A report older than this says nothing about load any more. */
  Duration report_lifetime = seconds(10);
  /** A back end younger than this gets a rising share of new flows. */
  Duration slow_start = seconds(10);
  /** Share that a back end gets right after its start. */
  double slow_start_floor = 0.1;
};

/**
 * What this balancer believes about the load and the state of each back end: the last report,
 * what was placed here since, and the back end's own refusals.
 */
class BackendLoadTable {
 public:
  BackendLoadTable(LoadEstimateSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /** Takes a report unless a newer one is known. @return true if it was taken. */
  bool onReport(const BackendReport& report);

  /** Notes that this balancer placed a flow on the back end. */
  void onPlaced(BackendId backend);

  /** Notes the back end's own word that it takes nothing new for a while. */
  void onRefusal(BackendId backend, Duration retry_after);

  /** Notes the back end's own word that it is leaving. */
  void onDrainingSeen(BackendId backend);

  /** Balancers that place flows; what was placed here stands for that many times as much. */
  void setLiveBalancers(std::uint32_t count) { live_balancers_ = count == 0 ? 1 : count; }

  /** @return true if the back end may get new flows. */
  bool mayPlace(const Backend& backend) const;

  /** @return estimated load over capacity; 1 stands for full. */
  double estimatedLoad(const Backend& backend) const;

  /** @return last reported load over capacity, without what was placed since. */
  double reportedLoad(const Backend& backend) const;

  /** @return the last report, or nullptr. */
  const BackendReport* lastReport(BackendId backend) const;

 private:
  struct Entry {
    BackendReport report;
    MonotonicTime report_received_at;
    bool has_report = false;
    std::uint32_t placed_since_report = 0;
    bool draining_seen = false;
    MonotonicTime no_new_work_until;
  };

  const Entry* find(BackendId backend) const;
  bool reportIsCurrent(const Entry& entry) const;
  double startupShare(const Entry& entry) const;

  const LoadEstimateSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<BackendId, Entry> entries_;
  std::uint32_t live_balancers_ = 1;
};

}  // namespace lugfork
