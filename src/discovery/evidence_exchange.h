#pragma once

#include "common/scheduler.h"
#include "discovery/evidence_collector.h"
#include "discovery/peer_directory.h"
#include "flow/evidence_reporter.h"
#include "wire/view_transfer_codec.h"

namespace lugfork {

/** Takes the messages about silent servers. */
class EvidenceReceiver {
 public:
  virtual ~EvidenceReceiver() = default;
  virtual void onReport(const EvidenceReport& report, Endpoint from) = 0;
  virtual void onDigest(const EvidenceDigest& digest, Endpoint from) = 0;
};

/** Tunables of an EvidenceExchange. */
struct EvidenceExchangeSettings {
  /** Time between checks for news; news reaches all of a zone after some two of these. */
  Duration interval = milliseconds(100);
  /**
   * Balancers of the own zone that sum for this one. A second one would halve the news that fits
   * into the bytes; without it news pauses for `answer_timeout` when the one stops.
   */
  std::size_t collector_count = 1;
  /** Balancers whose zone is not known yet that get one report; their answers name their zone. */
  std::size_t max_unknown_recipients = 4;
  /** Time after which a balancer that did not answer a report is left alone, and for how long. */
  Duration answer_timeout = seconds(1);
  Duration unanswered_cooldown = seconds(5);
  /** Time for which a balancer's zone is remembered. */
  Duration zone_ttl = seconds(60);
  /** Bytes a second of reports over all collectors, and at once. */
  double bytes_per_second = 350;
  double burst_bytes = 500;
};

/** Counts of an EvidenceExchange. */
struct EvidenceExchangeCounters {
  std::uint64_t reports_sent = 0;
  std::uint64_t digests_received = 0;
  /** Messages from other zones, not used: evidence holds for the zone that it was seen from. */
  std::uint64_t reports_from_other_zones = 0;
  std::uint64_t digests_from_other_zones = 0;
};

/**
 * Carries evidence within a zone: each balancer reports what is new to the best of its zone in
 * PeerDirectory::ranked(), which sums all reports and sends digests to those that reported. Which
 * balancers run in the own zone is learnt from their answers. Nothing is sent while nothing is
 * silent.
 */
class EvidenceExchange : public EvidenceReceiver {
 public:
  using Send = std::function<void(Endpoint to, const ViewMessage&)>;

  /**
   * @param self control address of this balancer.
   * @param port of the datagrams, the same for all balancers of a fleet.
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
  /** What is known of another balancer as one that sums. */
  struct Candidate {
    /** Last answer; unset for none. */
    MonotonicTime answered_at;
    bool is_of_own_zone = false;
    /** First report since then; unset for none. */
    MonotonicTime asked_at;
  };

  void tick();
  void report();
  /** @return who gets reports: the best of the own zone, and some whose zone is not known. */
  std::vector<Endpoint> recipients();
  void removeExpired();
  bool isSilent(const Candidate& candidate) const;
  /** @return true for those that did not answer, and those of other zones. */
  bool isUseless(const Candidate& candidate) const;
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
  double bytes_left_;
  MonotonicTime bytes_counted_at_;
  EvidenceExchangeCounters counters_;
};

}  // namespace lugfork
