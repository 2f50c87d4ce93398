#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/random_generator.h"
#include "common/time_source.h"
#include "discovery/ranked_peers.h"

namespace lugfork {

/** Settings of a PeerDirectory. */
struct PeerDirectorySettings {
  /**
   * Limit of stored peers, besides the seeds; those with the fastest links and the lowest ranks are
   * kept. One datagram holds this many. The size of a larger fleet is estimated from them to within
   * about 10%.
   */
  std::size_t max_peers = 100;
  /** Time after its last contact for which a peer is kept. */
  Duration peer_ttl = seconds(60);
  /** Time for which a failed peer is not added again when other peers report it. */
  Duration quarantine = seconds(30);
  /**
   * Time for which a peer that answers without a fresh view is not used as an upstream: it has just
   * started, is about to stop, or gets no answers from the store.
   */
  Duration unavailable_quarantine = seconds(2);
  /** Time for which a peer that reported a view is assumed to still have it. */
  Duration view_ttl = seconds(2);
  /**
   * Number of peers with the fastest links that are kept regardless of their rank; more than watch
   * the store in a fleet of 2,700.
   */
  std::size_t max_fast_peers = 16;
};

/**
 * Addresses of other balancers: the seeds of the settings, which may be outdated, and peers that
 * contacted this balancer, answered it, or were reported by other peers. The number of stored peers
 * is limited independently of the size of the fleet. Since those with the fastest links and the
 * lowest ranks are kept, the directories of all balancers converge.
 */
class PeerDirectory {
 public:
  PeerDirectory(PeerDirectorySettings settings, PeerInfo self, std::vector<Endpoint> seeds,
                const TimeSource& time_source, RandomGenerator& random);

  /** A peer has answered this balancer. */
  void onAnswer(Endpoint peer);

  /** A peer has sent a request that contains the class of its link. */
  void onContact(const PeerInfo& peer);

  /** Another balancer has reported these peers. */
  void onPeersReported(const std::vector<PeerInfo>& peers);

  /** A peer did not answer or sent an invalid answer: it is removed and quarantined. */
  void onFailed(Endpoint peer);

  /**
   * A peer answers but has no fresh view. It is excluded as an upstream for a short time, even if
   * it sends requests meanwhile; the next peers in rank are used instead.
   */
  void onUnavailable(Endpoint peer);

  /** A peer's request shows that it has a view. */
  void onViewReported(Endpoint peer);

  /** @return peers that have recently reported a view, the latest first. */
  std::vector<Endpoint> peersWithView(std::size_t limit);

  /** @return a random recent peer, or a random seed if there is none, or nothing. */
  std::optional<Endpoint> pickRandom();

  /** @return the peers whose entries have not expired. */
  std::vector<Endpoint> recentPeers();

  /** @return true if there is such a peer. */
  bool hasPeers();

  /** @return this balancer, followed by recent peers with the best upstreams first. */
  std::vector<PeerInfo> peersToReport(std::size_t limit);

  /** @return the seeds in random order. */
  std::vector<Endpoint> shuffledSeeds();

  /** @return true if this balancer is a seed, which others contact first. */
  bool isSeed() const { return is_seed_; }

  /** @return peers and seeds that are neither quarantined nor unavailable, best upstream first. */
  std::vector<Endpoint> ranked(std::size_t limit = std::numeric_limits<std::size_t>::max());

  /**
   * @return true if the left balancer is the better upstream: the one with the faster link, since a
   * large configuration saturates a slow one, or with the lower rank if the links are equal.
   */
  bool isBetterUpstream(Endpoint left, Endpoint right) const;

  /**
   * @return true if this balancer is among the `owners` owners of a key, chosen by rendezvous
   * hashing over all balancers in the directory.
   */
  bool isOwner(std::uint64_t key, std::size_t owners);

  /**
   * @return the number of balancers including this one: exact while all fit into the directory,
   * otherwise estimated from the density of the stored ranks.
   */
  double fleetSize();

  /** @return total number of peers examined one by one; a measure of the work done. */
  std::uint64_t peersVisited() const { return peers_visited_; }

 private:
  /** Time at which a peer reported a view; ordered with the latest first. */
  struct ReportedView {
    MonotonicTime at;
    Endpoint peer;
    bool operator<(const ReportedView& other) const {
      return at == other.at ? peer < other.peer : at > other.at;
    }
  };

  void removeExpired();
  /** Schedules the next removal of expired state at that time or earlier. */
  void scheduleExpiry(MonotonicTime time) { next_expiry_ = std::min(next_expiry_, time); }
  void removeExpiredQuarantines(std::map<Endpoint, MonotonicTime>& quarantines);
  void add(const PeerInfo& peer);
  void evictHighestRank();
  /** @return the last of the peers with the fastest links, which are never evicted, or nullptr. */
  const RankedPeer* lastFastPeer() const;
  /** @return the peer with the highest rank of those kept for their rank, or nullptr. */
  const RankedPeer* highestKept() const;
  /** @return the rank of that peer; at least 1, also if there is none. */
  PeerRank highestKeptRank() const;
  /** @return true if other balancers' full directories keep this balancer. */
  bool isKeptByOthers() const;
  LinkClass linkOf(Endpoint peer) const;
  bool isQuarantined(Endpoint peer) const;
  bool isUnavailable(Endpoint peer) const;

  const PeerDirectorySettings settings_;
  const PeerInfo self_;
  const PeerRank local_rank_;
  std::vector<Endpoint> seeds_;
  /** The seeds as peers with unknown links, the lowest rank first. */
  std::set<RankedPeer, BetterUpstream> ranked_seeds_;
  const bool is_seed_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  RankedPeers peers_;
  std::map<Endpoint, MonotonicTime> quarantined_until_;
  std::map<Endpoint, MonotonicTime> unavailable_until_;
  std::map<Endpoint, MonotonicTime> view_reported_at_;
  std::set<ReportedView> reported_views_;
  /** No state of the members above expires before this time. */
  MonotonicTime next_expiry_ = MonotonicTime::max();
  mutable std::uint64_t peers_visited_ = 0;
};

}  // namespace lugfork
