#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "common/event_log.h"
#include "common/ids.h"
#include "common/time_source.h"
#include "flow/false_suspicions.h"
#include "flow/placement_engine.h"
#include "flow/service_pressure.h"

namespace lugfork {

/** Settings of a SilenceDetector. */
struct SilenceDetectorSettings {
  /**
   * An opening counts as unanswered if the client's next packet does not follow within this time.
   */
  Duration handshake_timeout = milliseconds(100);
  /** Time after which a suspect backend gets a new flow again, as a probe. */
  Duration suspicion_ttl = seconds(2);
  /**
   * Number of unanswered flows, at least one of them with min_retransmissions, that are needed to
   * mark a backend dead.
   */
  std::size_t min_silent_flows = 3;
  /** Retransmissions on one flow (after 0.2 s, 0.6 s, ...) that rule out a merely slow answer. */
  std::uint16_t min_retransmissions = 2;
  /** Age up to which a retransmission counts. */
  Duration retransmission_window = seconds(2);
  /**
   * Time for which an answer after retransmissions raises the number of retransmissions required.
   */
  Duration slow_answer_ttl = seconds(60);
  /** Minimum time without progress on any flow before a backend is marked dead. */
  Duration min_silence = milliseconds(500);
  /**
   * Maximum fraction of the recently used backends that may have retransmissions, even on a single
   * flow. Above it the fault is assumed to be local (this balancer's links, or delayed packets),
   * and no backend is marked dead.
   */
  double max_silent_fraction = 0.34;
  /**
   * Number of other backends of the service that must have answered recently before one is marked
   * dead: without them a dead backend cannot be distinguished from a fault of the clients or the
   * path.
   */
  std::size_t min_answering_backends = 2;
  /** Unanswered attempts that make a backend suspect while its service is under pressure. */
  std::size_t min_attempts_under_pressure = 2;
  FalseSuspicionSettings false_suspicions;
  /**
   * A silence of at least this duration that then ends counts as a failure; waiting in a queue and
   * a lost packet cause shorter ones.
   */
  Duration min_failure_duration = milliseconds(300);
  /** Failures further apart than this do not add up to flapping. */
  Duration flapping_window = seconds(60);
  /** Number of failures from which a recovered backend is excluded for a delay. */
  std::size_t min_flapping_failures = 2;
  /**
   * First such delay, doubled with each further failure: the time after which the client of a new
   * flow gives up.
   */
  Duration readmission_delay = milliseconds(1400);
  /** Upper bound of the delay, so that a recovered backend does not stay unused for longer. */
  Duration max_readmission_delay = seconds(12);
};

/** What this balancer has observed of a backend that does not answer it. */
struct SilenceObservation {
  BackendId backend;
  /** Number of unanswered flows since the last progress. */
  std::size_t flows = 0;
  /** Maximum number of retransmissions on one of them. */
  std::uint16_t retransmissions = 0;
  /** Time of the last unanswered attempt. */
  MonotonicTime last_attempt_at;
  /** Time of the last progress; unset if there was none. */
  MonotonicTime last_progress_at;
};

/**
 * Detects unresponsive backends from the packets that their clients send, well before the store
 * reports them. Suspect backends are excluded from placement; open flows of dead backends are
 * reset, so that clients can retry on others. Progress on any flow ends both states, except that a
 * flapping backend stays excluded for a readmission delay.
 */
class SilenceDetector : public BackendHealth {
 public:
  /** @return the service of a backend; pressure is evaluated per service. */
  using ServiceLookup = std::function<ServiceId(BackendId)>;

  SilenceDetector(SilenceDetectorSettings settings, const TimeSource& time_source, EventLog& log)
      : settings_(settings), time_source_(time_source), log_(log) {}

  /** Records that a first packet was forwarded to the backend. */
  void onOpening(BackendId backend);

  /** Records that a client retransmitted a first packet that the backend has not answered. */
  void onOpeningRetransmitted(BackendId backend, const FlowId& flow);

  /**
   * Records that a client has received new data from the backend.
   * @param retransmissions how often the client had retransmitted before. A live backend has
   * answered after so many, so marking a backend dead then takes more.
   */
  void onProgress(BackendId backend, std::uint16_t retransmissions = 0);

  /** Records the n-th retransmission of a client's data on an open flow. */
  void onRetransmission(BackendId backend, const FlowId& flow, std::uint16_t retransmissions);

  bool isSuspect(BackendId backend) const override;
  bool isDead(BackendId backend) const;

  /** @return time since the last progress, or since the first packet if there was none. */
  Duration silentFor(BackendId backend) const;

  /** Sets the lookup of services; without it all backends count as one service. */
  void setServiceLookup(ServiceLookup service_lookup) {
    service_lookup_ = std::move(service_lookup);
  }

  /** Sets an additional source of pressure information; nullptr for none. */
  void setPressure(const ServicePressure* pressure) { pressure_ = pressure; }

  /**
   * @return true if silence is no evidence because the backends of the service answer late,
   * according to the injected source or to the number of false suspicions.
   */
  bool isUnderPressure(ServiceId service) const;

  /**
   * Records that this balancer itself was late: packets had waited, so what they showed was
   * outdated. Observations up to now no longer count as silence. Cheap enough to be called for each
   * late packet.
   */
  void onBehind() { behind_at_ = time_source_.monotonicTime(); }

  /** @return true if too many backends look silent to this balancer at once. */
  bool isSilenceWidespread() const;

  /** Removes the state of one backend. */
  void remove(BackendId backend) { records_.erase(backend); }

  /** Removes backends that are not in the configuration. */
  void retain(const ConfigurationView& configuration);

  /** @return observations of the backends that look silent now. */
  std::vector<SilenceObservation> observations() const;

  /** @return time of the backend's last progress; unset if there was none. */
  MonotonicTime lastProgressAt(BackendId backend) const;

  /** @return the backends used within the given time up to now. */
  std::vector<BackendId> usedWithin(Duration time) const;

  /** @return the maximum number of retransmissions after which a backend has recently answered. */
  std::uint16_t survivedRetransmissions() const;

  /** @return the number of retransmissions on one flow that rules out a slow answer. */
  std::uint16_t retransmissionsToDeclareDead() const;

 private:
  /** A flow with retransmissions since the backend's last progress. */
  struct SilentFlow {
    FlowId flow;
    MonotonicTime retransmitted_at;
    std::uint16_t retransmissions = 0;
  };

  /** Failures of a backend; kept across progress. */
  struct Failures {
    std::size_t count = 0;
    MonotonicTime last_at;
    /** The backend gets no new flow before this time. */
    MonotonicTime excluded_until;
  };

  struct Record {
    ServiceId service;
    Failures failures;
    /** Last progress, or the first packet if there was none. */
    MonotonicTime progress_at;
    bool has_progressed = false;
    /** First opening since the last progress; unset for none. */
    MonotonicTime opening_at;
    /** Last retransmission since the last progress; unset for none. */
    MonotonicTime retransmitted_at;
    /** First unanswered attempt since the last progress; unset for none. */
    MonotonicTime first_attempt_at;
    std::vector<SilentFlow> silent_flows;
    /** Transitions logged since the last progress. */
    bool suspicion_logged = false;
    bool death_logged = false;
  };

  Record& recordOf(BackendId backend);
  const Record* find(BackendId backend) const;
  void recordSilentFlow(BackendId backend, const FlowId& flow, std::uint16_t retransmissions);
  bool looksDead(const Record& record) const;
  bool isDead(const Record& record) const;
  /** @return true if enough other backends of the service answer. */
  bool enoughOthersAnswer(const Record& record) const;
  /** @return the time from which the backend's silence counts. */
  MonotonicTime silentSince(const Record& record) const {
    return std::max(record.progress_at, behind_at_);
  }
  bool isCurrent(const SilentFlow& silent) const;
  std::size_t currentSilentFlows(const Record& record) const;
  /** @return true if the silence is too long for a queue; the criterion under pressure. */
  bool isSilentForLong(const Record& record) const;
  /** Records an attempt that is not answered yet. */
  void recordAttempt(Record& record) const;
  void recordFalseSuspicion(BackendId backend, ServiceId service);
  /** Counts a failure that has just ended. */
  void recordFailure(Failures& failures) const;
  /** Logs the transition to suspect or dead, once until the next progress. */
  void logTransition(BackendId backend, Record& record, std::string_view cause);
  bool hasUnansweredOpening(const Record& record) const;
  bool isSilent(const Record& record) const;

  const SilenceDetectorSettings settings_;
  const TimeSource& time_source_;
  EventLog& log_;
  ServiceLookup service_lookup_;
  const ServicePressure* pressure_ = nullptr;
  std::unordered_map<BackendId, Record> records_;
  FalseSuspicions false_suspicions_{settings_.false_suspicions, time_source_};
  /** Number of backends in use of a service with false suspicions, and when it was counted. */
  struct InUse {
    std::size_t backends = 0;
    MonotonicTime counted_at;
  };
  std::unordered_map<ServiceId, InUse> in_use_;
  /** Observations up to this time are outdated and do not count. */
  MonotonicTime behind_at_;
  /**
   * Maximum number of retransmissions after which a backend answered, and when that was observed.
   */
  std::uint16_t survived_retransmissions_ = 0;
  MonotonicTime survived_at_;
};

}  // namespace lugfork
