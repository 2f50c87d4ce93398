#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "common/event_log.h"
#include "config/live_configuration.h"
#include "flow/silence_detector.h"
#include "wire/evidence_messages.h"

namespace lugfork {

/** Settings of SharedEvidence: limits on what reports of peers may cause. */
struct SharedEvidenceSettings {
  /** Time after the last unanswered attempt for which it counts; clients give up after some 2 s. */
  Duration attempt_ttl = milliseconds(1500);
  /**
   * Number of distinct balancers that must report a backend: a single one may be isolated or
   * overloaded.
   */
  std::size_t min_reporters = 2;
  /**
   * Maximum fraction of a service's backends that reports of peers may exclude; above it these
   * reports are ignored.
   */
  double max_suspect_fraction = 0.5;
  /** Number of flows with retransmissions, over all reporters, needed to mark a backend dead. */
  std::size_t min_silent_flows = 3;
  /** Minimum time without progress reported by any balancer before a backend is marked dead. */
  Duration min_silence = milliseconds(500);
  /** Delay before open flows are reset, in which peers can object: two reporting intervals. */
  Duration reset_delay = milliseconds(250);
  /** Number of silent backends that makes their whole zone suspect. */
  std::size_t min_silent_backends_of_zone = 3;
  /** Minimum time without progress in a zone before the whole zone is suspect. */
  Duration min_zone_silence = milliseconds(300);
  /** Time for which a peer's report that a zone answers keeps the zone from being suspect. */
  Duration objection_ttl = seconds(1);
  FalseSuspicionSettings false_suspicions;
};

/** What peers have reported of a silent backend. */
struct ReportedSilence {
  std::size_t reporters = 0;
  std::size_t flows = 0;
  std::uint16_t retransmissions = 0;
  MonotonicTime last_attempt_at;
  MonotonicTime first_reported_at;
};

/** Why a backend is considered dead, for logs. */
struct DeathEvidence {
  bool is_whole_zone = false;
  std::size_t reporters = 0;
  std::size_t flows = 0;
  /** Time without progress reported by any balancer of the zone; zero if none is known. */
  Duration silent_for{};
};

/**
 * Combines this balancer's observations of silent backends with those of all balancers of its zone.
 * Reports of peers count while they are recent, if several peers agree, for a bounded fraction of a
 * service, and until any balancer receives an answer.
 */
class SharedEvidence : public BackendHealth {
 public:
  SharedEvidence(SharedEvidenceSettings settings, const SilenceDetector& local,
                 const TimeSource& time_source, EventLog& log)
      : settings_(settings), local_(local), time_source_(time_source), log_(log) {}

  /** Applies the changes of the configuration in force. */
  void onConfigurationChanged(const ConfigurationChanges& changes,
                              const ConfigurationView& configuration);

  /** Applies a digest sent by a balancer of the local zone. */
  void onDigest(const EvidenceDigest& digest);

  /** Reevaluates the evidence. To be called after each digest and several times a second. */
  void refresh();

  /**
   * Records that this balancer itself was late: reports count only after peers had time to object.
   */
  void onBehind() { behind_at_ = time_source_.monotonicTime(); }

  bool isSuspect(BackendId backend) const override;
  bool isInUnreachableZone(BackendId backend) const override;

  /**
   * @param retransmissions on the flow in question, which must itself be unanswered.
   * @return the reported evidence that the backend of an open flow is dead, or nothing.
   */
  std::optional<DeathEvidence> deathEvidence(BackendId backend,
                                             std::uint16_t retransmissions) const;

  /** @return the backends that peers report as silent. */
  const std::unordered_map<BackendId, ReportedSilence>& reportedSilence() const {
    return reported_;
  }

  /** @return the zone of a known backend, or nothing. */
  std::optional<ZoneId> zoneOf(BackendId backend) const;

  /**
   * @return zones with so many backends reported silent that the whole zone may be unreachable.
   */
  std::set<ZoneId> suspectZones() const;

  /** @return when a backend of the zone last answered according to digests; unset for never. */
  MonotonicTime lastObjectionAt(ZoneId zone) const;

  std::size_t suspectsByPeers() const { return suspects_.size(); }
  std::size_t unreachableZoneCount() const { return unreachable_zones_.size(); }

 private:
  struct KnownBackend {
    ZoneId zone;
    ServiceId service;
    /** The backend is not retired and counts towards the size of its service. */
    bool counts_for_service = false;
  };

  void put(const Backend& backend);
  void remove(BackendId backend);

  MonotonicTime lastProgressOf(BackendId backend) const;
  bool isCurrent(MonotonicTime last_attempt_at) const;
  /** @return true if no balancer has received an answer since the last unanswered attempt. */
  bool isUnanswered(BackendId backend, const ReportedSilence& reported) const;
  /** @return true if silence of the service's backends is no evidence. */
  bool isUnderPressure(ServiceId service) const;
  /** Records progress reported by peers. */
  void recordProgress(BackendId backend, MonotonicTime progress_at);
  void removeExpired();
  /** Determines the backends that are suspect because of reports, and logs new ones. */
  void updateSuspects();
  /** Determines the zones that are unreachable as a whole, and logs changes. */
  void updateUnreachableZones();
  std::string namesOf(const std::map<ZoneId, MonotonicTime>& zones) const;
  std::optional<DeathEvidence> zoneDeathEvidence(BackendId backend,
                                                 std::uint16_t retransmissions) const;
  std::optional<DeathEvidence> backendDeathEvidence(BackendId backend,
                                                    std::uint16_t retransmissions) const;
  std::uint16_t retransmissionsToDeclareDead() const;
  /** @return true if there is enough evidence that none of the zone's backends can be reached. */
  bool isZoneSilent(ZoneId zone) const;
  MonotonicTime lastProgressIn(ZoneId zone) const;
  bool otherZoneAnswers(ZoneId zone) const;

  const SharedEvidenceSettings settings_;
  const SilenceDetector& local_;
  const TimeSource& time_source_;
  EventLog& log_;
  std::unordered_map<BackendId, KnownBackend> backends_;
  std::unordered_map<ServiceId, std::size_t> service_sizes_;
  std::unordered_map<ZoneId, std::string> zone_names_;
  std::unordered_map<BackendId, ReportedSilence> reported_;
  /** Last progress reported by peers. */
  std::unordered_map<BackendId, MonotonicTime> reported_progress_;
  std::unordered_map<ZoneId, MonotonicTime> objections_;
  /** Backends that several balancers had reported and that then answered one. */
  FalseSuspicions false_suspicions_{settings_.false_suspicions, time_source_};
  MonotonicTime behind_at_;
  std::uint16_t reported_survived_retransmissions_ = 0;
  MonotonicTime reported_survived_at_;
  std::set<BackendId> suspects_;
  /** Zones that are unreachable, and since when they are considered so. */
  std::map<ZoneId, MonotonicTime> unreachable_zones_;
};

/** @return the age as encoded in messages; kNeverMs for an unset time. */
std::uint16_t toWireAge(MonotonicTime now, MonotonicTime time);

/** @return the time that an age in a message denotes; unset for kNeverMs. */
MonotonicTime fromWireAge(MonotonicTime now, std::uint16_t age_ms);

}  // namespace lugfork
