#pragma once

#include <span>
#include <unordered_map>

#include "common/time_source.h"
#include "config/configuration.h"
#include "flow/backend_report.h"

namespace lugfork {

/** Settings of the load estimate. */
struct LoadEstimateSettings {
  /** Age at which a report expires; its weight decreases smoothly until then. */
  Duration report_ttl = seconds(10);
  /** Age at which a report that a backend is unreachable expires. */
  Duration state_ttl = seconds(120);
  /** Time for which a refusal by a draining backend outweighs reports that it is not draining. */
  Duration draining_refusal_ttl = seconds(10);
  /** A backend with a shorter uptime gets an increasing fraction of its usual new flows. */
  Duration slow_start_duration = seconds(10);
  /** Fraction that a backend gets right after its start. */
  double min_slow_start_fraction = 0.1;
  /** A placement by this balancer counts as 1 + (live balancers - 1) times this. */
  double peer_placement_weight = 1;
  /** Lower bound of a reported load, as a ratio to the service's mean load. */
  double min_report_ratio = 1;
  /** Residence times after which the count of placements by this balancer has decayed to 1/e. */
  double placement_time_constant = 1;
  /** Bounds of the estimated time for which a placed request counts towards a backend's load. */
  Duration min_residence = milliseconds(20);
  Duration max_residence = seconds(10);
};

/**
 * This balancer's estimate of the load and the state of each backend, from the last report, the
 * placements since, and the backend's own refusals.
 */
class BackendLoadTable {
 public:
  BackendLoadTable(LoadEstimateSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /**
   * Applies a report unless a newer one is known.
   * @return true if it was applied.
   */
  bool onReport(const BackendReport& report);

  /** Records that this balancer placed a flow on the backend. */
  void onPlaced(const Backend& backend);

  /** Records a refusal by the backend, which accepts no new work for the given time. */
  void onRefusal(BackendId backend, Duration retry_after);

  /** Records a refusal by the backend because it is draining. */
  void onDrainingRefusal(BackendId backend);

  /**
   * Sets the number of balancers that place flows; they divide the free capacity of a backend among
   * them.
   */
  void setLiveBalancers(std::uint32_t count) { live_balancers_ = count == 0 ? 1 : count; }

  /**
   * Updates the figures that the backends of a service have in common: the mean load, and the
   * residence time of a request (requests present divided by placements per second). To be called a
   * few times a second.
   */
  void refreshService(ServiceId service, std::span<const Backend* const> backends);

  /** @return true if the backend may get new flows: it accepts new work and looks reachable. */
  bool mayPlace(const Backend& backend) const {
    return acceptsNewWork(backend) && looksReachable(backend);
  }

  /** @return true if the backend is declared as draining, or reports that it is. */
  bool isDraining(const Backend& backend) const;

  /** @return false if the backend is draining or has recently refused a flow. */
  bool acceptsNewWork(const Backend& backend) const;

  /** @return false if the backend is unreachable according to a current report. */
  bool looksReachable(const Backend& backend) const;

  /**
   * @param full_load ratio of load to slots from which a backend is full.
   * @return true if the backend is full by a recent report, or if this balancer has used its
   * part of the capacity that was free according to the report.
   */
  bool isFull(const Backend& backend, double full_load) const;

  /** @return true if a recent report shows a free slot. */
  bool hasFreeSlot(const Backend& backend) const;

  /** @return estimated load over capacity; 1 means that all slots are busy. */
  double estimatedLoad(const Backend& backend) const;

  /** @return last reported load over capacity, without the placements since. */
  double reportedLoad(const Backend& backend) const;

  /** @return estimated residence time of a request of the service at its backend. */
  Duration residence(ServiceId service) const;

  /** @return true once any report or draining refusal has been received. */
  bool hasReports() const { return has_reports_; }

  /** @return the last report, or nullptr. */
  const BackendReport* lastReport(BackendId backend) const;

 private:
  struct Entry {
    BackendReport report;
    MonotonicTime report_received_at;
    /** Requests present, smoothed over reports. */
    double smoothed_requests = 0;
    /** Age of the last report at its arrival [s]. */
    double report_lag = 0;
    bool has_report = false;
    /** Requests placed by this balancer and estimated to be still present, as of placed_at. */
    double placed = 0;
    MonotonicTime placed_at;
    ServiceId service;
    /** Whether the backend was draining according to the last successful report. */
    bool reported_draining = false;
    /**
     * Wall-clock time of the last refusal because of draining [ms since the Unix epoch]; 0 for
     * none.
     */
    std::uint64_t refused_as_draining_ms = 0;
    /** Uptime in the last successful report. */
    std::uint32_t last_uptime_ms = 0;
    MonotonicTime no_new_work_until;
  };

  struct ServiceLoad {
    double mean_load = 0;
    Duration residence{};
    /** Placements by this balancer since the last refresh. */
    std::uint64_t placements = 0;
    /** Smoothed placements per second by all balancers. */
    double placement_rate = 0;
    MonotonicTime refreshed_at;
  };

  const Entry* find(BackendId backend) const;
  const ServiceLoad* findService(ServiceId service) const;
  /** Applies the draining state and a restart that a successful report contains. */
  void updateDraining(Entry& entry, const BackendReport& report);
  bool reportIsCurrent(const Entry& entry) const;
  bool stateIsCurrent(const Entry& entry) const;

  /** @return weight of the report, from 1 (new) to 0 (expired). */
  double reportWeight(const Entry& entry) const;
  double slowStartFraction(const Entry& entry) const;

  /**
   * @return requests present according to the reports. The excess of the last report over the
   * smoothed number decays within a few residence times.
   */
  double reportedRequestsNow(const Entry& entry) const;

  /** @return placements by this balancer that are estimated to be present and not in the report. */
  double presentPlacements(const Entry& entry) const;
  void updatePlacementRate(ServiceLoad& load) const;

  const LoadEstimateSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<BackendId, Entry> entries_;
  std::unordered_map<ServiceId, ServiceLoad> services_;
  std::uint32_t live_balancers_ = 1;
  /** Until the first report all backends are alike, and lookups are skipped. */
  bool has_reports_ = false;
};

}  // namespace lugfork
