#pragma once

#include <span>
#include <unordered_map>

#include "common/time_source.h"
#include "config/configuration.h"
#include "flow/backend_report.h"

namespace lugfork {

/** Tunables of the load estimate. */
struct LoadEstimateSettings {
  /** Age at which a report says nothing any more; its weight falls smoothly until then. */
  Duration report_ttl = seconds(10);
  /** Age at which a report of an unreachable back end is no longer believed. */
  Duration state_ttl = seconds(120);
  /** A refusal because the back end leaves holds this long against reports that deny it. */
  Duration draining_refusal_ttl = seconds(10);
  /** A back end younger than this gets a rising share of new flows. */
  Duration slow_start_duration = seconds(10);
  /** Share that a back end gets right after its start. */
  double min_slow_start_fraction = 0.1;
  /** What was placed here stands for 1 + (live balancers - 1) times this much. */
  double peer_placement_weight = 1;
  /** Smallest load that a report is believed to show, as a share of the service's mean load. */
  double min_report_ratio = 1;
  /** Residences after which about a third of what was placed here counts as present still. */
  double placement_time_constant = 1;
  /** Bounds of the estimated time for which a placed request counts to a back end's load. */
  Duration min_residence = milliseconds(20);
  Duration max_residence = seconds(10);
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
  void onPlaced(const Backend& backend);

  /** Notes the back end's own word that it takes nothing new for a while. */
  void onRefusal(BackendId backend, Duration retry_after);

  /** Notes the back end's own word that it is leaving. */
  void onDrainingRefusal(BackendId backend);

  /** Sets the number of balancers that place flows; a back end's free places are shared by them. */
  void setLiveBalancers(std::uint32_t count) { live_balancers_ = count == 0 ? 1 : count; }

  /**
   * Learns what the back ends of a service have in common: the mean load, and how long a request
   * stays (requests present over requests placed a second). To be called a few times a second.
   */
  void refreshService(ServiceId service, std::span<const Backend* const> backends);

  /** @return true if the back end may get new flows; both of the following. */
  bool mayPlace(const Backend& backend) const {
    return acceptsNewWork(backend) && looksReachable(backend);
  }

  /** @return true where the back end is declared to leave, or says itself that it leaves. */
  bool isDraining(const Backend& backend) const;

  /** @return false where the back end leaves or has just refused, by its own word. */
  bool acceptsNewWork(const Backend& backend) const;

  /** @return false where a current report says that the back end can't be reached. */
  bool looksReachable(const Backend& backend) const;

  /**
   * @param full_load load over slots from which a back end is full.
   * @return true if the back end is full by a fresh report, or if this balancer has used its share
   * of the places that the report showed free.
   */
  bool isFull(const Backend& backend, double full_load) const;

  /** @return true where a fresh report shows a free slot. */
  bool hasFreeSlot(const Backend& backend) const;

  /** @return estimated load over capacity; 1 stands for all slots busy. */
  double estimatedLoad(const Backend& backend) const;

  /** @return last reported load over capacity, without what was placed since. */
  double reportedLoad(const Backend& backend) const;

  /** @return estimated time for which a request of the service stays at its back end. */
  Duration residence(ServiceId service) const;

  /** @return true once a report or a back end's own word that it leaves has come. */
  bool hasReports() const { return has_reports_; }

  /** @return the last report, or nullptr. */
  const BackendReport* lastReport(BackendId backend) const;

 private:
  struct Entry {
    BackendReport report;
    MonotonicTime report_received_at;
    /** Requests present, smoothed over reports. */
    double smoothed_requests = 0;
    /** Age of the last report at its arrival, in seconds. */
    double report_lag = 0;
    bool has_report = false;
    /** Requests placed here and believed to be present still, as of placed_at. */
    double placed = 0;
    MonotonicTime placed_at;
    ServiceId service;
    /** The last report that got an answer said that the back end takes nothing new. */
    bool reported_draining = false;
    /** The back end refused work because it leaves; wall-clock time of that, 0 for none [ms]. */
    std::uint64_t refused_as_draining_ms = 0;
    /** Uptime in the last report that got an answer. */
    std::uint32_t last_uptime_ms = 0;
    MonotonicTime no_new_work_until;
  };

  struct ServiceLoad {
    double mean_load = 0;
    Duration residence{};
    /** Placements by this balancer since the last refresh. */
    std::uint64_t placements = 0;
    /** Smoothed placements a second by all balancers. */
    double placement_rate = 0;
    MonotonicTime refreshed_at;
  };

  const Entry* find(BackendId backend) const;
  const ServiceLoad* findService(ServiceId service) const;
  /** Takes what a report that got an answer says about leaving and restarts. */
  void updateDraining(Entry& entry, const BackendReport& report);
  bool reportIsCurrent(const Entry& entry) const;
  bool stateIsCurrent(const Entry& entry) const;

  /** @return how far the report is believed, from 1 (new) to 0 (at the end of its lifetime). */
  double reportWeight(const Entry& entry) const;
  double slowStartFraction(const Entry& entry) const;

  /**
   * @return requests present by the reports: what the last one showed beyond the usual number has
   * ended after a few residences.
   */
  double reportedRequestsNow(const Entry& entry) const;

  /** @return requests placed here that are believed to be present and not in the report. */
  double presentPlacements(const Entry& entry) const;
  void updatePlacementRate(ServiceLoad& load) const;

  const LoadEstimateSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<BackendId, Entry> entries_;
  std::unordered_map<ServiceId, ServiceLoad> services_;
  std::uint32_t live_balancers_ = 1;
  /** Until then all back ends are alike, and none needs to be looked up. */
  bool has_reports_ = false;
};

}  // namespace lugfork
