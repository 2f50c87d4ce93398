#pragma once

#include <map>
#include <set>
#include <vector>

#include "common/time_source.h"
#include "discovery/peer_client.h"

namespace lugfork {

/** Position of a balancer in an order that all balancers share without agreement. */
using PeerRank = std::uint64_t;

/** @return the rank of a balancer: a hash of its address, so that ranks are spread evenly. */
PeerRank peerRank(Endpoint peer);

/** A peer with all that its places in the orders depend on. */
struct RankedPeer {
  RankedPeer() = default;
  explicit RankedPeer(const PeerInfo& peer)
      : address(peer.address), link(peer.link), rank(peerRank(peer.address)) {}

  Endpoint address;
  LinkClass link = 0;
  PeerRank rank = 0;
};

/** The faster link first; the lower rank where both are alike. */
struct BetterUpstream {
  bool operator()(const RankedPeer& left, const RankedPeer& right) const;
};

struct LowerRank {
  bool operator()(const RankedPeer& left, const RankedPeer& right) const;
};

/**
 * Peers and when each was heard of, kept in the order of their ranks and in that of their worth as
 * upstreams. To sort 100 of them anew took 90 us of processor time for each poll and 1 ms for each
 * list of peers that another balancer told (control_work_bench); now 0.3 and 28 us.
 */
class RankedPeers {
 public:
  using ByQuality = std::set<RankedPeer, BetterUpstream>;
  using ByRank = std::set<RankedPeer, LowerRank>;
  struct Heard {
    MonotonicTime at;
    RankedPeer peer;
  };
  using ByAddress = std::map<Endpoint, Heard>;

  /** Adds a peer, or takes its new link and time. */
  void put(const PeerInfo& peer, MonotonicTime at);

  /** Takes a peer's link; when it was heard of stays as it is. */
  void setLink(Endpoint address, LinkClass link);
  void erase(Endpoint address);

  /** Forgets peers not heard of since a time. @return the earliest time of the others. */
  MonotonicTime eraseBefore(MonotonicTime earliest);

  std::size_t size() const { return by_address_.size(); }
  bool contains(Endpoint address) const { return by_address_.contains(address); }
  /** @return the link, 0 for a peer that is not known. */
  LinkClass linkOf(Endpoint address) const;

  const ByAddress& byAddress() const { return by_address_; }
  /** The best upstream first. */
  const ByQuality& byQuality() const { return by_quality_; }
  /** The lowest rank first. */
  const ByRank& byRank() const { return by_rank_; }

 private:
  ByAddress::iterator erase(ByAddress::iterator entry);

  ByAddress by_address_;
  ByQuality by_quality_;
  ByRank by_rank_;
};

}  // namespace lugfork
