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

/** Tunables of a SilenceDetector. */
struct SilenceDetectorSettings {
  /** An opening without the caller's next packet for this long counts as unanswered. */
  Duration handshake_timeout = milliseconds(100);
  /** A suspected back end gets a new flow again after this long, to see whether it answers. */
  Duration suspicion_ttl = seconds(2);
  /** Flows of which at least one repeats itself twice before a back end is taken for dead. */
  std::size_t min_silent_flows = 3;
  /** Repetitions of a flow (after 0.2 s, 0.6 s, ...) that show more than a slow answer. */
  std::uint16_t min_retransmissions = 2;
  /** Time for which a repetition counts. */
  Duration retransmission_window = seconds(2);
  /** Time for which an answer after repetitions raises how many prove a back end dead. */
  Duration slow_answer_ttl = seconds(60);
  /** Shortest time without any sign of life after which a back end is taken for dead. */
  Duration min_silence = milliseconds(500);
  /**
   * Largest share of the back ends in use lately that may look silent, be it by one flow; above it
   * the fault is this node's own (its links, or packets that waited), and none is taken for dead.
   */
  double max_silent_fraction = 0.34;
  /**
   * Other back ends of its service that must have answered lately before one is taken for dead:
   * without them nothing tells a dead server from callers or a path that are at fault.
   */
  std::size_t min_answering_backends = 2;
  /** Unanswered attempts that make a back end suspect where its service is under pressure. */
  std::size_t min_attempts_under_pressure = 2;
  FalseSuspicionSettings false_suspicions;
  /** A silence that ends after so long was a failure: a queue's wait or a lost packet is shorter.
   */
  Duration min_failure_duration = milliseconds(300);
  /** Failures further back than this don't add up: a server that fell so seldom is trusted. */
  Duration flapping_window = seconds(60);
  /** From this failure on a back end gets no new flow for a time after it answers again. */
  std::size_t min_flapping_failures = 2;
  /** That time at first, doubled with each further one: what callers of a new flow wait at most. */
  Duration readmission_delay = milliseconds(1400);
  /** Longest such time: a server that is well again is missed for no longer. */
  Duration max_readmission_delay = seconds(12);
};

/** What a node itself has seen of a back end that does not answer it. */
struct SilenceObservation {
  BackendId backend;
  /** Flows that went unanswered since the last sign of life. */
  std::size_t flows = 0;
  /** Most repetitions of one of them. */
  std::uint16_t retransmissions = 0;
  /** Last unanswered attempt. */
  MonotonicTime last_attempt_at;
  /** Last sign of life; unset for none. */
  MonotonicTime last_progress_at;
};

/**
 * Learns which back ends have fallen silent from what their callers send, long before the platform
 * reports it. Suspected back ends get no new flows; for dead ones open flows are reset, so that
 * callers can try elsewhere. Any sign of life ends both, but for back ends that fail by turns: they
 * get no new flow for some time after it.
 */
class SilenceDetector : public BackendSuspicion {
 public:
  /** @return the service of a back end, for which pressure is judged. */
  using ServiceLookup = std::function<ServiceId(BackendId)>;

  SilenceDetector(SilenceDetectorSettings settings, const TimeSource& time_source, EventLog& log)
      : settings_(settings), time_source_(time_source), log_(log) {}

  /** An opening went to the back end. */
  void onOpening(BackendId backend);

  /** The back end answered the copy of an opening with nothing. */
  void onOpeningRetransmitted(BackendId backend, const FlowId& flow);

  /**
   * A caller has received something new from the back end.
   * @param repetitions how often the caller had repeated itself before: since a living back end
   * answered after so many, only more of them prove one dead.
   */
  void onProgress(BackendId backend, std::uint16_t retransmissions = 0);

  /** A caller repeats what it sent on an open flow, for the n-th time. */
  void onRetransmission(BackendId backend, const FlowId& flow, std::uint16_t retransmissions);

  bool isSuspect(BackendId backend) const override;
  bool isDead(BackendId backend) const;

  /** @return time since the last sign of life; since the first packet where there was none. */
  Duration silentFor(BackendId backend) const;

  /** Sets what tells services; without it all back ends count as of one. */
  void setServiceLookup(ServiceLookup service_lookup) {
    service_lookup_ = std::move(service_lookup);
  }

  /** Sets what else tells of pressure; nullptr for nothing. */
  void setPressure(const ServicePressure* pressure) { pressure_ = pressure; }

  /**
   * @return true where silence proves nothing: the service's back ends are late. By what is
   * injected or by back ends that looked silent and answered.
   */
  bool isUnderPressure(ServiceId service) const;

  /**
   * This node itself was late: packets waited, so that what they showed was old. Nothing that was
   * seen up to now counts as silence any more. Cheap: may be called for each late packet.
   */
  void onBehind() { behind_at_ = time_source_.monotonicTime(); }

  /** @return true where many back ends look silent to this node at once. */
  bool isSilenceWidespread() const;

  /** Forgets what was seen of one back end. */
  void remove(BackendId backend) { records_.erase(backend); }

  /** Forgets back ends that are not known any more. */
  void retain(const ConfigurationView& configuration);

  /** @return what was seen of the back ends that look silent now. */
  std::vector<SilenceObservation> observations() const;

  /** @return the last sign of life of the back end; unset for none. */
  MonotonicTime lastProgressAt(BackendId backend) const;

  /** @return the back ends that were used within the time. */
  std::vector<BackendId> usedWithin(Duration time) const;

  /** @return most repetitions after which a back end still answered lately. */
  std::uint16_t survivedRetransmissions() const;

  /** @return repetitions of a flow that show more than a slow answer. */
  std::uint16_t retransmissionsToDeclareDead() const;

 private:
  /** A flow that repeated itself since the last sign of life. */
  struct SilentFlow {
    FlowId flow;
    MonotonicTime retransmitted_at;
    std::uint16_t retransmissions = 0;
  };

  /** How often a back end has failed; outlives signs of life. */
  struct Failures {
    std::size_t count = 0;
    MonotonicTime last_at;
    /** No new flow before then. */
    MonotonicTime excluded_until;
  };

  struct Record {
    ServiceId service;
    Failures failures;
    /** Last sign of life; the first packet where there was none. */
    MonotonicTime progress_at;
    bool has_progressed = false;
    /** First opening since the last sign of life; unset for none. */
    MonotonicTime opening_at;
    /** Last repetition since the last sign of life; unset for none. */
    MonotonicTime retransmitted_at;
    /** First unanswered attempt since the last sign of life; unset for none. */
    MonotonicTime first_attempt_at;
    std::vector<SilentFlow> silent_flows;
    /** What was logged since the last sign of life. */
    bool suspicion_logged = false;
    bool death_logged = false;
  };

  Record& recordOf(BackendId backend);
  const Record* find(BackendId backend) const;
  void recordSilentFlow(BackendId backend, const FlowId& flow, std::uint16_t retransmissions);
  bool looksDead(const Record& record) const;
  bool isDead(const Record& record) const;
  /** @return true where enough of the service's other back ends answer. */
  bool enoughOthersAnswer(const Record& record) const;
  /** @return the time from which silence of the back end counts. */
  MonotonicTime silentSince(const Record& record) const {
    return std::max(record.progress_at, behind_at_);
  }
  bool isCurrent(const SilentFlow& silent) const;
  std::size_t currentSilentFlows(const Record& record) const;
  /** @return true where the silence is more than a queue's, for services under pressure. */
  bool isSilentForLong(const Record& record) const;
  /** Notes an attempt that is not answered yet. */
  void recordAttempt(Record& record) const;
  void recordFalseSuspicion(BackendId backend, ServiceId service);
  /** Counts a failure that has just ended. */
  void recordFailure(Failures& failures) const;
  /** Logs a change of what is believed of the back end, once until its next sign of life. */
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
  /** Back ends in use of services with false suspicions, and when they were counted. */
  struct InUse {
    std::size_t backends = 0;
    MonotonicTime counted_at;
  };
  std::unordered_map<ServiceId, InUse> in_use_;
  /** What was seen up to then is too old to count. */
  MonotonicTime behind_at_;
  /** Most repetitions after which a back end still answered, and when that was last seen. */
  std::uint16_t survived_retransmissions_ = 0;
  MonotonicTime survived_at_;
};

}  // namespace lugfork
