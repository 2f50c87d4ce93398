#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "common/event_log.h"
#include "common/time_source.h"
#include "wire/evidence_messages.h"

namespace lugfork {

/** Bounds of an EvidenceCollector. */
struct EvidenceCollectorSettings {
  /** Time after the last unanswered attempt for which a report counts: callers give up after 2 s.
   */
  Duration fresh_for = milliseconds(1500);
  /** Largest share of the servers near a reporter that it may name; else its own path is at fault.
   */
  double max_silent_share = 0.5;
  /** Servers in use from which that share is judged: of one or two, all may be silent. */
  std::size_t servers_to_judge = 3;
  /** Time after its last report for which a balancer gets digests. */
  Duration subscription = seconds(5);
  /** Shortest time between two digests to one balancer. */
  Duration digest_gap = milliseconds(200);
  /** A server that is still silent is sent again after this long, before receivers forget it. */
  Duration repeat_after = milliseconds(700);
  /** Bytes a second to one balancer, and at once: with its reports under a kilobyte a second. */
  double bytes_per_second = 450;
  double burst_bytes = 600;
  /** Balancers that get digests at most: more than a zone of a fleet of 400 holds. */
  std::size_t max_subscribers = 150;
};

/** Counts of an EvidenceCollector. */
struct EvidenceCollectorCounters {
  std::uint64_t reports = 0;
  /** Reports that named too many servers to be about them. */
  std::uint64_t reports_left_out = 0;
  std::uint64_t digests = 0;
};

/**
 * Sums the reports of one zone's balancers and tells each of them what has changed. Keeps nothing
 * that is older than some seconds: a restart costs one round of reports.
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

  /** Takes a report of a balancer of the same zone; the next tell() answers it. */
  void onReport(const EvidenceReport& report, Endpoint from);

  /** Takes what this node itself has seen. */
  void onOwnReport(const EvidenceReport& report) { take(report, Endpoint()); }

  /** Tells subscribers what has changed; to be called several times a second. */
  void tell();

  /** Forgets what is too old to count; to be called where nothing is told. */
  void forgetOld();

  /** @return all that is known now, for this node itself. */
  EvidenceDigest digest() const;

  bool hasSubscribers() const { return !subscribers_.empty(); }
  const EvidenceCollectorCounters& counters() const { return counters_; }

 private:
  struct Seen {
    std::uint8_t flows = 0;
    std::uint8_t repetitions = 0;
    MonotonicTime attempt_at;
  };

  struct Server {
    std::map<Endpoint, Seen> by_reporter;
    MonotonicTime life_at;
    /** Version of the last change to be sent; a subscriber gets all newer than its own. */
    std::uint64_t version = 0;
    /** As it was when it changed last. */
    SummedSilence told;
    MonotonicTime told_attempt_at;
    MonotonicTime told_life_at;
  };

  struct Subscriber {
    MonotonicTime reported_at;
    MonotonicTime told_at;
    std::uint64_t version = 0;
    bool owes_answer = false;
    double bytes_left = 0;
    MonotonicTime bytes_counted_at;
  };

  void take(const EvidenceReport& report, Endpoint from);
  /** @return true where the report names so many servers that the reporter's path is at fault. */
  bool isAboutItself(const EvidenceReport& report) const;
  /** Drops all that the reporter has named, and logs it. */
  void leaveOut(Endpoint reporter);
  void noteSilence(const BackendSilence& silent, Endpoint from);
  void noteLife(BackendId backend, MonotonicTime life_at);
  void noteChanges();
  SummedSilence sum(BackendId backend, const Server& server, MonotonicTime& attempt_at) const;
  void tell(Endpoint to, Subscriber& subscriber);
  /** Adds what is newer than the version, the oldest change first. @return the last one's version.
   */
  std::uint64_t addNewerThan(std::uint64_t version, std::size_t most, EvidenceDigest& digest) const;
  void addServer(BackendId backend, const Server& server, EvidenceDigest& digest) const;
  bool mayTell(Subscriber& subscriber) const;

  const EvidenceCollectorSettings settings_;
  const std::string zone_;
  const TimeSource& time_source_;
  EventLog& log_;
  const Send send_;
  std::unordered_map<BackendId, Server> servers_;
  std::map<Endpoint, Subscriber> subscribers_;
  std::uint64_t version_ = 0;
  std::uint8_t survived_ = 0;
  MonotonicTime survived_at_;
  EvidenceCollectorCounters counters_;
};

/** @return the bytes of a message on the wire with all headers, at most. */
std::size_t wireBytesOf(const EvidenceDigest& digest);
std::size_t wireBytesOf(const EvidenceReport& report);

}  // namespace lugfork
