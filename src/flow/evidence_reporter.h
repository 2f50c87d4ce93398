#pragma once

#include "flow/shared_evidence.h"

namespace lugfork {

/** Bounds of what a node reports. */
struct EvidenceReporterSettings {
  /** A server that is silent still is named again after this long, so that it stays believed. */
  Duration repeat_interval = milliseconds(500);
  /** Shortest time between two reported signs of life of one server. */
  Duration min_progress_interval = milliseconds(200);
  /** Shortest time between two objections to a zone's being suspect, by anybody: half of the time
   * for which one counts. */
  Duration min_objection_interval = milliseconds(500);
  /** Time within which servers count as in use. */
  Duration in_use_window = seconds(2);
};

/** Makes a node's reports: what it has seen since the last one, and nothing where nothing is new.
 */
class EvidenceReporter {
 public:
  /** @param zone of this node. */
  EvidenceReporter(EvidenceReporterSettings settings, std::string zone,
                   const SilenceDetector& local, const SharedEvidence& shared,
                   const TimeSource& time_source);

  /** Sets the zone's id in the configuration in force. */
  void setConfiguration(const ConfigurationView& configuration);

  /** @return what is new; nothing where that is nothing. */
  std::optional<EvidenceReport> next();

  const std::string& zone() const { return zone_; }

 private:
  /** Adds silent servers with news, and those reported before that have answered since. */
  void addSilent(EvidenceReport& report);
  /** Adds servers that others report as silent and that have answered this node since. */
  void addAlive(EvidenceReport& report);
  /** Objects to a zone's being out of reach, by one of its servers. */
  void addAliveZones(EvidenceReport& report);
  /** @return the zone's server that answered this node last, within the gap; unset for none. */
  BackendId lastAnsweringBackend(ZoneId zone) const;
  void addProgress(EvidenceReport& report, BackendId backend, MonotonicTime progress_at);
  /** Adds how many servers are in use and silent: of the own zone, or of all where it has none. */
  void addUsage(EvidenceReport& report) const;
  bool isNew(const SilenceObservation& seen) const;

  const EvidenceReporterSettings settings_;
  const std::string zone_;
  const SilenceDetector& local_;
  const SharedEvidence& shared_;
  const TimeSource& time_source_;
  std::optional<ZoneId> zone_id_;
  /** What was reported last of each server that is silent still. */
  std::unordered_map<BackendId, SilenceObservation> reported_;
  std::unordered_map<BackendId, MonotonicTime> progress_reported_at_;
  std::unordered_map<ZoneId, MonotonicTime> objected_at_;
};

}  // namespace lugfork
