#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "common/event_log.h"
#include "common/time_source.h"
#include "wire/evidence_messages.h"

namespace lugfork {

/** Settings of an EvidenceCollector. */
struct EvidenceCollectorSettings {
  /**
   * Time after the last unanswered attempt for which a report counts; shorter than the 2 s after
   * which clients give up.
   */
  Duration report_ttl = milliseconds(1500);
  /**
   * Largest fraction of the backends in a reporter's zone that it may report as silent. Above it,
   * the reporter's own path is assumed to have failed.
   */
  double max_silent_fraction = 0.5;
  /**
   * Number of backends in use from which that fraction is checked; with one or two, all of them may
   * have failed.
   */
  std::size_t min_backends_in_use = 3;
  /** Time after its last report for which a balancer receives digests. */
  Duration subscription_ttl = seconds(5);
  /** Shortest interval between two digests to the same balancer. */
  Duration min_digest_interval = milliseconds(200);
  /**
   * Interval after which a backend that is still silent is reported again; shorter than the time
   * after which receivers expire the entry.
   */
  Duration repeat_interval = milliseconds(700);
  /**
   * Rate and burst limit of digests to one balancer. Together with the balancer's reports the
   * traffic stays below 1 kB/s.
   */
  double bytes_per_second = 450;
  double burst_bytes = 600;
  /** Limit of balancers that receive digests; above the size of a zone in a fleet of 400. */
  std::size_t max_subscribers = 150;
};

/** Counts of an EvidenceCollector. */
struct EvidenceCollectorCounters {
  std::uint64_t reports = 0;
  /** Reports excluded because they named too large a fraction of the backends. */
  std::uint64_t reports_excluded = 0;
  std::uint64_t digests = 0;
};

/**
 * Aggregates the reports of one zone's balancers and sends each of them the changes. Reports are
 * kept for a few seconds only, so that a restart costs one round of reports.
 */
class EvidenceCollector {
 public:
  using Send = std::function<void(Endpoint to, const EvidenceDigest&)>;

  EvidenceCollector(EvidenceCollectorSettings settings, std::string zone,
                    const TimeSource& time_source, EventLog& log, Send send)
      : settings_(settings),
        zone_(std::move(zone)),
        time_source_(time_source),
        log_(log),
        send_(std::move(send)) {}

  /** Receives a report from a balancer of the same zone; the next sendDigests() answers it. */
  void onReport(const EvidenceReport& report, Endpoint from);

  /** Adds the observations of this balancer itself. */
  void onLocalReport(const EvidenceReport& report) { addReport(report, Endpoint()); }

  /** Sends changes to the subscribers; to be called several times per second. */
  void sendDigests();

  /** Removes expired reports; to be called if sendDigests() isn't. */
  void removeExpired();

  /** @return the complete current state, for use by this balancer. */
  EvidenceDigest digest() const;

  bool hasSubscribers() const { return !subscribers_.empty(); }
  const EvidenceCollectorCounters& counters() const { return counters_; }

 private:
  struct Observation {
    std::uint8_t flows = 0;
    std::uint8_t repetitions = 0;
    MonotonicTime attempt_at;
  };

  struct BackendEvidence {
    std::map<Endpoint, Observation> by_reporter;
    MonotonicTime life_at;
    /** Version of the last change; a subscriber receives all changes newer than its version. */
    std::uint64_t version = 0;
    /** State at the last change. */
    SummedSilence last_summary;
    MonotonicTime last_attempt_at;
    MonotonicTime last_life_at;
  };

  struct Subscriber {
    MonotonicTime reported_at;
    MonotonicTime sent_at;
    std::uint64_t version = 0;
    bool answer_pending = false;
    double available_bytes = 0;
    MonotonicTime refilled_at;
  };

  void addReport(const EvidenceReport& report, Endpoint from);
  /** @return true if the report names so many backends that the reporter's own path has failed. */
  bool hasFailedPath(const EvidenceReport& report) const;
  /** Removes all observations of the reporter and logs it. */
  void excludeReporter(Endpoint reporter);
  void recordSilence(const BackendSilence& silent, Endpoint from);
  void recordLife(BackendId backend, MonotonicTime life_at);
  void updateVersions();
  SummedSilence sumReports(BackendId backend, const BackendEvidence& evidence,
                           MonotonicTime& attempt_at) const;
  void sendDigest(Endpoint to, Subscriber& subscriber);
  /** Adds changes newer than the version, oldest first. @return the version of the last one. */
  std::uint64_t addChangesAfter(std::uint64_t version, std::size_t max_backends,
                                EvidenceDigest& digest) const;
  void addBackend(BackendId backend, const BackendEvidence& evidence, EvidenceDigest& digest) const;
  bool maySendDigest(Subscriber& subscriber) const;

  const EvidenceCollectorSettings settings_;
  const std::string zone_;
  const TimeSource& time_source_;
  EventLog& log_;
  const Send send_;
  std::unordered_map<BackendId, BackendEvidence> backends_;
  std::map<Endpoint, Subscriber> subscribers_;
  std::uint64_t version_ = 0;
  std::uint8_t answered_retransmissions_ = 0;
  MonotonicTime answered_retransmissions_at_;
  EvidenceCollectorCounters counters_;
};

/** @return upper bound of a message's size on the wire, including all headers [bytes]. */
std::size_t wireBytesOf(const EvidenceDigest& digest);
std::size_t wireBytesOf(const EvidenceReport& report);

}  // namespace lugfork
