#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "common/event_log.h"
#include "config/live_configuration.h"
#include "flow/silence_detector.h"
#include "wire/evidence_messages.h"

namespace lugfork {

/** Bounds within which a node believes what others have seen. */
struct SharedEvidenceSettings {
  /** Time after the last unanswered attempt for which it counts: callers give up after some 2 s. */
  Duration attempt_ttl = milliseconds(1500);
  /** Different balancers that must name a back end: one alone may be cut off or overloaded. */
  std::size_t min_reporters = 2;
  /** Largest share of a service that reports of others take out; above it they are ignored. */
  double max_suspect_fraction = 0.5;
  /** Flows, over all reporters, that must repeat themselves before a back end is taken for dead. */
  std::size_t min_silent_flows = 3;
  /** Shortest time without a sign of life to anybody before a back end is taken for dead. */
  Duration min_silence = milliseconds(500);
  /** Time that others have to object before open flows are reset: two rounds of reports. */
  Duration reset_delay = milliseconds(250);
  /** Silent servers of one zone that make all of it suspect. */
  std::size_t min_silent_backends_of_zone = 3;
  /** Shortest time without any sign of life from a zone before all of it is suspect. */
  Duration min_zone_silence = milliseconds(300);
  /** Time for which another balancer's report that a zone answers keeps it from being suspect. */
  Duration objection_ttl = seconds(1);
  FalseSuspicionSettings false_suspicions;
};

/** What other balancers have reported of a silent back end. */
struct ReportedSilence {
  std::size_t reporters = 0;
  std::size_t flows = 0;
  std::uint16_t retransmissions = 0;
  MonotonicTime last_attempt_at;
  MonotonicTime first_reported_at;
};

/** Why a back end is taken for dead, for logs. */
struct DeathEvidence {
  bool is_whole_zone = false;
  std::size_t reporters = 0;
  std::size_t flows = 0;
  /** Time without a sign of life to anybody of the zone; zero where none is known. */
  Duration silent_for{};
};

/**
 * Joins what this node has seen of silent back ends with what the balancers of its zone have seen
 * together. Reports of others count while they are fresh, where several agree, for a bounded share
 * of a service, and until anybody gets an answer.
 */
class SharedEvidence : public BackendSuspicion {
 public:
  SharedEvidence(SharedEvidenceSettings settings, const SilenceDetector& local,
                 const TimeSource& time_source, EventLog& log)
      : settings_(settings), local_(local), time_source_(time_source), log_(log) {}

  /** Takes over what has changed in the configuration in force. */
  void onConfigurationChanged(const ConfigurationChanges& changes,
                              const ConfigurationView& configuration);

  /** Takes what a balancer of the own zone has summed. */
  void onDigest(const EvidenceDigest& digest);

  /** Weighs the evidence anew; to be called after each digest and several times a second. */
  void refresh();

  /** This node itself was late: what others told counts only once they had time to object. */
  void onBehind() { behind_at_ = time_source_.monotonicTime(); }

  bool isSuspect(BackendId backend) const override;
  bool isOutOfReach(BackendId backend) const override;

  /**
   * @param repetitions of the flow at hand, which must not have been answered itself.
   * @return why reports of others prove the back end of an open flow dead, or nothing.
   */
  std::optional<DeathEvidence> deathEvidence(BackendId backend,
                                             std::uint16_t retransmissions) const;

  /** @return the back ends that others report as silent. */
  const std::unordered_map<BackendId, ReportedSilence>& reportedSilence() const {
    return reported_;
  }

  /** @return the zone of a back end that is known, or nothing. */
  std::optional<ZoneId> zoneOf(BackendId backend) const;

  /** @return zones with so many servers reported silent that the whole zone may be cut off. */
  std::set<ZoneId> suspectZones() const;

  /** @return when a server of the zone last answered, as digests say; unset for never. */
  MonotonicTime lastObjectionAt(ZoneId zone) const;

  std::size_t suspectsByPeers() const { return suspects_.size(); }
  std::size_t zonesOutOfReach() const { return zones_out_of_reach_.size(); }

 private:
  struct KnownBackend {
    ZoneId zone;
    ServiceId service;
    /** It is declared and counts to its service's size. */
    bool counts_for_service = false;
  };

  void put(const Backend& backend);
  void remove(BackendId backend);

  MonotonicTime lastProgressOf(BackendId backend) const;
  bool isCurrent(MonotonicTime last_attempt_at) const;
  /** @return true where nobody has got an answer since the last unanswered attempt. */
  bool isUnanswered(BackendId backend, const ReportedSilence& reported) const;
  /** @return true where silence of the service's back ends proves nothing. */
  bool isUnderPressure(ServiceId service) const;
  /** Takes signs of life that others report. */
  void recordProgress(BackendId backend, MonotonicTime progress_at);
  void removeExpired();
  /** Decides which servers are passed over because of reports, and logs those that are new. */
  void updateSuspects();
  /** Decides which zones are out of reach as a whole, and logs a change. */
  void updateZonesOutOfReach();
  std::string namesOf(const std::map<ZoneId, MonotonicTime>& zones) const;
  std::optional<DeathEvidence> zoneDeathEvidence(BackendId backend,
                                                 std::uint16_t retransmissions) const;
  std::optional<DeathEvidence> backendDeathEvidence(BackendId backend,
                                                    std::uint16_t retransmissions) const;
  std::uint16_t retransmissionsToDeclareDead() const;
  /** @return true where enough speaks for it that none of the zone's servers can be reached. */
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
  /** Last signs of life that others reported. */
  std::unordered_map<BackendId, MonotonicTime> reported_progress_;
  std::unordered_map<ZoneId, MonotonicTime> objections_;
  /** Back ends that several had reported and that then answered somebody. */
  FalseSuspicions false_suspicions_{settings_.false_suspicions, time_source_};
  MonotonicTime behind_at_;
  std::uint16_t reported_survived_retransmissions_ = 0;
  MonotonicTime reported_survived_at_;
  std::set<BackendId> suspects_;
  /** Zones that can't be reached, and since when that is believed. */
  std::map<ZoneId, MonotonicTime> zones_out_of_reach_;
};

/** @return the age as messages carry it; of a time that is unset, that it never was. */
std::uint16_t toWireAge(MonotonicTime now, MonotonicTime time);

/** @return the time that an age in a message stands for; unset where it never was. */
MonotonicTime fromWireAge(MonotonicTime now, std::uint16_t age_ms);

}  // namespace lugfork
