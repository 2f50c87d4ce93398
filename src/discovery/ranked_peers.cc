#include "discovery/ranked_peers.h"

#include <xxhash.h>

#include <algorithm>

namespace lugfork {

PeerRank peerRank(Endpoint peer) {
  const std::uint64_t content = (std::uint64_t{peer.address} << 16) | peer.port;
  return XXH3_64bits(&content, sizeof(content));
}

bool BetterUpstream::operator()(const RankedPeer& left, const RankedPeer& right) const {
  return left.link == right.link ? LowerRank()(left, right) : left.link > right.link;
}

bool LowerRank::operator()(const RankedPeer& left, const RankedPeer& right) const {
  return left.rank == right.rank ? left.address < right.address : left.rank < right.rank;
}

void RankedPeers::put(const PeerInfo& peer, MonotonicTime at) {
  const auto known = by_address_.find(peer.address);
  if (known != by_address_.end()) {
    known->second.at = at;
    setLink(peer.address, peer.link);
    return;
  }
  const RankedPeer ranked(peer);
  by_address_.emplace(peer.address, Entry{at, ranked});
  by_quality_.insert(ranked);
  by_rank_.insert(ranked);
}

void RankedPeers::setLink(Endpoint address, LinkClass link) {
  const auto known = by_address_.find(address);
  if (known == by_address_.end() || known->second.peer.link == link) {
    return;
  }
  RankedPeer& peer = known->second.peer;
  by_quality_.erase(peer);
  by_rank_.erase(peer);
  peer.link = link;
  by_quality_.insert(peer);
  by_rank_.insert(peer);
}

void RankedPeers::erase(Endpoint address) {
  const auto known = by_address_.find(address);
  if (known != by_address_.end()) {
    erase(known);
  }
}

MonotonicTime RankedPeers::eraseBefore(MonotonicTime earliest) {
  MonotonicTime first = MonotonicTime::max();
  for (auto entry = by_address_.begin(); entry != by_address_.end();) {
    if (entry->second.at < earliest) {
      entry = erase(entry);
      continue;
    }
    first = std::min(first, entry->second.at);
    ++entry;
  }
  return first;
}

LinkClass RankedPeers::linkOf(Endpoint address) const {
  const auto known = by_address_.find(address);
  return known == by_address_.end() ? LinkClass{0} : known->second.peer.link;
}

RankedPeers::ByAddress::iterator RankedPeers::erase(ByAddress::iterator entry) {
  by_quality_.erase(entry->second.peer);
  by_rank_.erase(entry->second.peer);
  return by_address_.erase(entry);
}

}  // namespace lugfork
