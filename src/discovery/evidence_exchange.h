#pragma once

#include "common/scheduler.h"
#include "discovery/evidence_collector.h"
#include "discovery/peer_directory.h"
#include "flow/evidence_reporter.h"
#include "wire/view_transfer_codec.h"

namespace lugfork {

/** Receives the messages about silent backends. */
class EvidenceReceiver {
 public:
  virtual ~EvidenceReceiver() = default;
  virtual void onReport(const EvidenceReport& report, Endpoint from) = 0;
  virtual void onDigest(const EvidenceDigest& digest, Endpoint from) = 0;
};

/** Settings of an EvidenceExchange. */
struct EvidenceExchangeSettings {
  /** Interval of checks for changes; a change reaches all of a zone after about two intervals. */
  Duration interval = milliseconds(100);
  /**
   * Number of balancers of the local zone that collect this balancer's reports. A second one would
   * halve the changes that fit into the byte limit. Without it, reports are interrupted for
   * `answer_timeout` when the collector stops.
   */
  std::size_t collector_count = 1;
  /** Limit of recipients per report whose zone is unknown; their answers contain their zone. */
  std::size_t max_unknown_recipients = 4;
  /** Time without an answer after which a balancer gets no reports, and the time it gets none. */
  Duration answer_timeout = seconds(1);
  Duration unanswered_cooldown = seconds(5);
  /** Time after its last answer for which a balancer's zone is kept. */
  Duration zone_ttl = seconds(60);
  /** Rate and burst limit of reports to all collectors together. */
  double bytes_per_second = 350;
  double burst_bytes = 500;
};

/** Counts of an EvidenceExchange. */
struct EvidenceExchangeCounters {
  std::uint64_t reports_sent = 0;
  std::uint64_t digests_received = 0;
  /** Ignored messages from other zones: evidence applies only to the zone that observed it. */
  std::uint64_t reports_from_other_zones = 0;
  std::uint64_t digests_from_other_zones = 0;
};

/**
 * Exchanges evidence within a zone. Each balancer reports changes to a collector, the first
 * balancer of its zone in PeerDirectory::ranked(). The collector aggregates all reports and sends
 * digests to the reporters. The zones of other balancers are taken from their answers. Nothing is
 * sent while no backend is silent.
 */
class EvidenceExchange : public EvidenceReceiver {
 public:
  using Send = std::function<void(Endpoint to, const ViewMessage&)>;

  /**
   * @param self control address of this balancer.
   * @param port UDP port of the messages, the same for all balancers of a fleet.
   */
  EvidenceExchange(EvidenceExchangeSettings settings, EvidenceReporter& reporter,
                   SharedEvidence& shared, PeerDirectory& directory, Endpoint self,
                   std::uint16_t port, Send send, Scheduler& scheduler,
                   const TimeSource& time_source, EventLog& log);

  void start();

  void onReport(const EvidenceReport& report, Endpoint from) override;
  void onDigest(const EvidenceDigest& digest, Endpoint from) override;

  const EvidenceExchangeCounters& counters() const { return counters_; }
  const EvidenceCollectorCounters& collectorCounters() const { return collector_.counters(); }

 private:
  /** Another balancer as a possible collector. */
  struct Candidate {
    /** Time of the last answer; unset if there was none. */
    MonotonicTime answered_at;
    bool is_in_local_zone = false;
    /** Time of the first report after that; unset if there was none. */
    MonotonicTime reported_at;
  };

  void tick();
  void report();
  /** @return recipients of reports: the collectors and some balancers with an unknown zone. */
  std::vector<Endpoint> recipients();
  void removeExpired();
  bool hasTimedOut(const Candidate& candidate) const;
  /** @return true if the balancer did not answer or belongs to another zone. */
  bool isIneligible(const Candidate& candidate) const;
  void refillBytes();

  const EvidenceExchangeSettings settings_;
  EvidenceReporter& reporter_;
  SharedEvidence& shared_;
  PeerDirectory& directory_;
  const Endpoint self_;
  const std::uint16_t port_;
  const Send send_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  EvidenceCollector collector_;
  std::map<Endpoint, Candidate> candidates_;
  double available_bytes_;
  MonotonicTime refilled_at_;
  EvidenceExchangeCounters counters_;
};

}  // namespace lugfork
