#pragma once

#include "flow/shared_evidence.h"

namespace lugfork {

/** Settings of an EvidenceReporter. */
struct EvidenceReporterSettings {
  /**
   * Interval at which a backend that stays silent is reported again, so that the evidence does not
   * expire.
   */
  Duration repeat_interval = milliseconds(500);
  /** Minimum interval between two reports of progress of one backend. */
  Duration min_progress_interval = milliseconds(200);
  /**
   * Minimum interval between two objections, by any balancer, to the suspicion of one zone: half
   * of SharedEvidenceSettings::objection_ttl.
   */
  Duration min_objection_interval = milliseconds(500);
  /** Time within which a backend must have been used to count as in use. */
  Duration in_use_window = seconds(2);
};

/**
 * Builds this balancer's reports: changes since the last report, and no report if there are none.
 */
class EvidenceReporter {
 public:
  /** @param zone of this balancer. */
  EvidenceReporter(EvidenceReporterSettings settings, std::string zone,
                   const SilenceDetector& local, const SharedEvidence& shared,
                   const TimeSource& time_source);

  /** Looks up the zone's id in the configuration in force. */
  void setConfiguration(const ConfigurationView& configuration);

  /** @return what has changed since the last report, or nothing. */
  std::optional<EvidenceReport> next();

  const std::string& zone() const { return zone_; }

 private:
  /**
   * Adds silent backends with changed observations, and previously reported ones that have answered
   * since.
   */
  void addSilent(EvidenceReport& report);
  /** Adds backends that peers report as silent and that have answered this balancer since. */
  void addAlive(EvidenceReport& report);
  /** Adds objections to suspect zones: for each, one backend that answers. */
  void addAliveZones(EvidenceReport& report);
  /**
   * @return the zone's backend that answered this balancer last, within the minimum interval; unset
   * for none.
   */
  BackendId lastAnsweringBackend(ZoneId zone) const;
  void addProgress(EvidenceReport& report, BackendId backend, MonotonicTime progress_at);
  /**
   * Adds the numbers of backends in use and silent: of the local zone, or of all zones if the local
   * one has none in use.
   */
  void addUsage(EvidenceReport& report) const;
  bool isNew(const SilenceObservation& seen) const;

  const EvidenceReporterSettings settings_;
  const std::string zone_;
  const SilenceDetector& local_;
  const SharedEvidence& shared_;
  const TimeSource& time_source_;
  std::optional<ZoneId> zone_id_;
  /** Last reported observation of each backend that is still silent. */
  std::unordered_map<BackendId, SilenceObservation> reported_;
  std::unordered_map<BackendId, MonotonicTime> progress_reported_at_;
  std::unordered_map<ZoneId, MonotonicTime> objected_at_;
};

}  // namespace lugfork
