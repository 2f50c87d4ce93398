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

/** Tunables of a PeerDirectory. */
struct PeerDirectorySettings {
  /**
   * Peers remembered at most, besides the seeds; those with the fastest links and the lowest ranks
   * are kept. As many as one datagram tells, which tells the size of a larger fleet to about a
   * tenth.
   */
  std::size_t max_peers = 100;
  /** Time after which a peer that was not heard of is forgotten. */
  Duration peer_ttl = seconds(60);
  /** Time for which a peer that failed is not taken back on the word of others. */
  Duration quarantine = seconds(30);
  /**
   * Time for which a peer that answers but has no view, or an old one, is no upstream: it has just
   * started, is about to stop, or the store does not answer it.
   */
  Duration unavailable_quarantine = seconds(2);
  /** Time for which a peer that has shown a view is sure to have it still. */
  Duration view_ttl = seconds(2);
  /**
   * Peers with the fastest links that are remembered whatever their rank: more than watch the store
   * in a fleet of 2,700.
   */
  std::size_t max_fast_peers = 16;
};

/**
 * Addresses of other balancers: the seeds of the settings, which may be old, and those that asked
 * this one or were told by another. Each node knows a few, whatever the size of the fleet. Since
 * the fastest links and the lowest ranks are kept, all nodes come to know the same ones.
 */
class PeerDirectory {
 public:
  PeerDirectory(PeerDirectorySettings settings, PeerInfo self, std::vector<Endpoint> seeds,
                const TimeSource& time_source, RandomGenerator& random);

  /** A peer has answered this node. */
  void onAnswer(Endpoint peer);

  /** A peer has shown itself: it asked this node, and told its link. */
  void onContact(const PeerInfo& peer);

  /** Another node told of these peers. */
  void onPeersReported(const std::vector<PeerInfo>& peers);

  /** A peer did not answer, or not well: it is forgotten and stays in quarantine for a while. */
  void onFailed(Endpoint peer);

  /**
   * A peer answers but has nothing new to tell: no view, or an old one. It is left alone for a
   * short while, whatever it asks meanwhile; those next in rank take its place.
   */
  void onUnavailable(Endpoint peer);

  /** A peer has shown that it has a view. */
  void onViewReported(Endpoint peer);

  /** @return peers that have shown a view lately, the last first. */
  std::vector<Endpoint> peersWithView(std::size_t limit);

  /** @return a random peer that was heard of lately, or a seed; nothing where there is none. */
  std::optional<Endpoint> pickRandom();

  /** @return the peers heard of lately. */
  std::vector<Endpoint> recentPeers();

  /** @return true where a peer was heard of lately. */
  bool hasPeers();

  /** @return this balancer and the peers heard of lately, the best upstreams first. */
  std::vector<PeerInfo> peersToReport(std::size_t limit);

  /** @return seeds in a random order, to ask first. */
  std::vector<Endpoint> shuffledSeeds();

  /** @return true where others begin by asking this balancer. */
  bool isSeed() const { return is_seed_; }

  /** @return the best upstreams of peers and seeds that are not in quarantine, the best first. */
  std::vector<Endpoint> ranked(std::size_t limit = std::numeric_limits<std::size_t>::max());

  /**
   * @return true where the balancer on the left is the better upstream: the one with the faster
   * link, since a large configuration fills a slow one; the lower rank where both are alike.
   */
  bool isBetterUpstream(Endpoint left, Endpoint right) const;

  /**
   * @return true where this balancer is among the few that own a key, chosen by rendezvous hashing
   * over all balancers that are known here.
   */
  bool isOwner(std::uint64_t key, std::size_t owners);

  /**
   * @return the number of balancers, this one included: counted while all fit in the directory,
   * else estimated from how densely the ranks that were kept lie.
   */
  double fleetSize();

  /** @return the peers that were looked at one by one, for all time. */
  std::uint64_t peersVisited() const { return peers_visited_; }

 private:
  /** When a peer has shown a view; the last first. */
  struct ShownView {
    MonotonicTime at;
    Endpoint peer;
    bool operator<(const ShownView& other) const {
      return at == other.at ? peer < other.peer : at > other.at;
    }
  };

  void removeExpired();
  /** Notes that something will be old from a time on. */
  void forgetFrom(MonotonicTime time) { forget_from_ = std::min(forget_from_, time); }
  void forgetOldQuarantines(std::map<Endpoint, MonotonicTime>& quarantines);
  void add(const PeerInfo& peer);
  void evictHighestRank();
  /** @return the last of the peers with the fastest links, which are never evicted; or nullptr. */
  const RankedPeer* lastOfFastest() const;
  /** @return the peer of the highest rank of those that were kept for their rank, or nullptr. */
  const RankedPeer* highestKept() const;
  /** @return the rank of that peer. */
  PeerRank highestKeptRank() const;
  /** @return true where this balancer is among those that all full directories keep. */
  bool isKeptByOthers() const;
  LinkClass linkOf(Endpoint peer) const;
  bool isQuarantined(Endpoint peer) const;
  bool isUnavailable(Endpoint peer) const;

  const PeerDirectorySettings settings_;
  const PeerInfo self_;
  const PeerRank own_rank_;
  std::vector<Endpoint> seeds_;
  /** The seeds as peers of unknown links, the lowest rank first. */
  std::set<RankedPeer, BetterUpstream> ranked_seeds_;
  const bool is_seed_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  RankedPeers heard_;
  std::map<Endpoint, MonotonicTime> quarantined_until_;
  std::map<Endpoint, MonotonicTime> unavailable_until_;
  std::map<Endpoint, MonotonicTime> view_shown_at_;
  std::set<ShownView> shown_views_;
  /** Nothing above is old before this time. */
  MonotonicTime forget_from_ = MonotonicTime::max();
  mutable std::uint64_t peers_visited_ = 0;
};

}  // namespace lugfork
