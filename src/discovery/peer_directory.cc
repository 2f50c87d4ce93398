#include "discovery/peer_directory.h"

#include <xxhash.h>

#include <iterator>

namespace lugfork {

PeerDirectory::PeerDirectory(PeerDirectorySettings settings, PeerInfo self,
                             std::vector<Endpoint> seeds, const TimeSource& time_source,
                             RandomGenerator& random)
    : settings_(settings),
      self_(self),
      own_rank_(peerRank(self.address)),
      seeds_(std::move(seeds)),
      is_seed_(std::find(seeds_.begin(), seeds_.end(), self_.address) != seeds_.end()),
      time_source_(time_source),
      random_(random) {
  std::erase(seeds_, self_.address);
  for (const Endpoint& seed : seeds_) {
    ranked_seeds_.insert(RankedPeer(PeerInfo(seed)));
  }
}

void PeerDirectory::onAnswer(Endpoint peer) {
  quarantined_until_.erase(peer);
  add({peer, linkOf(peer)});
}

void PeerDirectory::onContact(const PeerInfo& peer) {
  quarantined_until_.erase(peer.address);
  add(peer);
}

void PeerDirectory::onPeersReported(const std::vector<PeerInfo>& peers) {
  for (const PeerInfo& peer : peers) {
    ++peers_visited_;
    if (heard_.contains(peer.address)) {
      // What others tell never refreshes what is known: a dead peer would be told for ever.
      heard_.setLink(peer.address, std::max(heard_.linkOf(peer.address), peer.link));
    } else if (!isQuarantined(peer.address)) {
      add(peer);
    }
  }
}

void PeerDirectory::onFailed(Endpoint peer) {
  heard_.erase(peer);
  quarantined_until_[peer] = time_source_.monotonicTime() + settings_.quarantine;
  forgetFrom(quarantined_until_[peer]);
}

void PeerDirectory::onUnavailable(Endpoint peer) {
  unavailable_until_[peer] = time_source_.monotonicTime() + settings_.unavailable_quarantine;
  forgetFrom(unavailable_until_[peer]);
}

void PeerDirectory::onViewReported(Endpoint peer) {
  const MonotonicTime now = time_source_.monotonicTime();
  const auto [entry, is_new] = view_shown_at_.try_emplace(peer, now);
  if (!is_new) {
    shown_views_.erase({entry->second, peer});
    entry->second = now;
  }
  shown_views_.insert({now, peer});
  forgetFrom(now + settings_.view_ttl);
}

std::vector<Endpoint> PeerDirectory::peersWithView(std::size_t limit) {
  removeExpired();
  std::vector<Endpoint> peers;
  for (const ShownView& shown : shown_views_) {
    if (peers.size() == limit) {
      break;
    }
    ++peers_visited_;
    if (!isQuarantined(shown.peer) && !isUnavailable(shown.peer)) {
      peers.push_back(shown.peer);
    }
  }
  return peers;
}

std::optional<Endpoint> PeerDirectory::pickRandom() {
  removeExpired();
  if (heard_.size() > 0) {
    const auto place = static_cast<std::ptrdiff_t>(random_.below(heard_.size()));
    return std::next(heard_.byAddress().begin(), place)->first;
  }
  if (seeds_.empty()) {
    return std::nullopt;
  }
  return seeds_[random_.below(seeds_.size())];
}

std::vector<Endpoint> PeerDirectory::recentPeers() {
  removeExpired();
  std::vector<Endpoint> peers;
  for (const auto& [peer, heard] : heard_.byAddress()) {
    peers.push_back(peer);
  }
  return peers;
}

bool PeerDirectory::hasPeers() {
  removeExpired();
  return heard_.size() > 0;
}

std::vector<PeerInfo> PeerDirectory::peersToReport(std::size_t limit) {
  removeExpired();
  std::vector<PeerInfo> told;
  told.reserve(std::min(limit, heard_.size() + 1));
  if (self_.address.isSet()) {
    told.push_back(self_);
  }
  for (const RankedPeer& peer : heard_.byQuality()) {
    if (told.size() >= limit) {
      break;
    }
    ++peers_visited_;
    told.push_back({peer.address, peer.link});
  }
  return told;
}

std::vector<Endpoint> PeerDirectory::shuffledSeeds() {
  std::vector<Endpoint> seeds = seeds_;
  for (std::size_t left = seeds.size(); left > 1; --left) {
    std::swap(seeds[left - 1], seeds[random_.below(left)]);
  }
  return seeds;
}

std::vector<Endpoint> PeerDirectory::ranked(std::size_t limit) {
  removeExpired();
  std::vector<Endpoint> peers;
  const auto take = [&](const RankedPeer& peer) {
    ++peers_visited_;
    if (!isQuarantined(peer.address) && !isUnavailable(peer.address)) {
      peers.push_back(peer.address);
    }
  };
  auto seed = ranked_seeds_.begin();
  const auto take_seeds_before = [&](const RankedPeer* peer) {
    for (; seed != ranked_seeds_.end() && peers.size() < limit; ++seed) {
      if (peer != nullptr && BetterUpstream()(*peer, *seed)) {
        return;
      }
      if (!heard_.contains(seed->address)) {
        take(*seed);
      }
    }
  };
  for (const RankedPeer& peer : heard_.byQuality()) {
    take_seeds_before(&peer);
    if (peers.size() >= limit) {
      return peers;
    }
    take(peer);
  }
  take_seeds_before(nullptr);
  return peers;
}

bool PeerDirectory::isBetterUpstream(Endpoint left, Endpoint right) const {
  return BetterUpstream()(RankedPeer({left, linkOf(left)}), RankedPeer({right, linkOf(right)}));
}

LinkClass PeerDirectory::linkOf(Endpoint peer) const {
  return peer == self_.address ? self_.link : heard_.linkOf(peer);
}

bool PeerDirectory::isOwner(std::uint64_t key, std::size_t owners) {
  const auto weight = [key](PeerRank rank) {
    const std::uint64_t content[] = {key, rank};
    return XXH3_64bits(content, sizeof(content));
  };
  removeExpired();
  if (heard_.size() >= settings_.max_peers && !isKeptByOthers()) {
    return false;
  }
  const std::uint64_t own_weight = weight(own_rank_);
  std::size_t before_self = 0;
  for (const RankedPeer& peer : heard_.byRank()) {
    ++peers_visited_;
    before_self += weight(peer.rank) < own_weight ? 1 : 0;
    if (before_self >= owners) {
      return false;
    }
  }
  return before_self < owners;
}

bool PeerDirectory::isKeptByOthers() const {
  const RankedPeer* last_of_fastest = lastOfFastest();
  const bool is_fast =
      last_of_fastest == nullptr || BetterUpstream()(RankedPeer(self_), *last_of_fastest);
  return is_fast || own_rank_ <= highestKeptRank();
}

const RankedPeer* PeerDirectory::lastOfFastest() const {
  const std::size_t count =
      std::min({settings_.max_fast_peers, settings_.max_peers / 2, heard_.size()});
  peers_visited_ += count;
  return count == 0
             ? nullptr
             : &*std::next(heard_.byQuality().begin(), static_cast<std::ptrdiff_t>(count) - 1);
}

const RankedPeer* PeerDirectory::highestKept() const {
  const RankedPeer* last_of_fastest = lastOfFastest();
  const RankedPeers::ByRank& by_rank = heard_.byRank();
  for (auto peer = by_rank.rbegin(); peer != by_rank.rend(); ++peer) {
    ++peers_visited_;
    if (last_of_fastest == nullptr || BetterUpstream()(*last_of_fastest, *peer)) {
      return &*peer;
    }
  }
  return nullptr;
}

PeerRank PeerDirectory::highestKeptRank() const {
  const RankedPeer* highest = highestKept();
  return highest == nullptr ? 1 : std::max<PeerRank>(1, highest->rank);
}

double PeerDirectory::fleetSize() {
  removeExpired();
  if (heard_.size() < settings_.max_peers) {
    return static_cast<double>(heard_.size()) + 1;
  }
  // All peers up to the highest rank that was kept for its rank are known.
  const PeerRank highest = highestKeptRank();
  std::size_t known = heard_.size();
  const RankedPeers::ByRank& by_rank = heard_.byRank();
  for (auto peer = by_rank.rbegin(); peer != by_rank.rend() && peer->rank > highest; ++peer) {
    ++peers_visited_;
    --known;
  }
  constexpr auto kAllRanks = static_cast<double>(std::numeric_limits<PeerRank>::max());
  return static_cast<double>(known) * (kAllRanks / static_cast<double>(highest)) + 1;
}

bool PeerDirectory::isQuarantined(Endpoint peer) const {
  const auto found = quarantined_until_.find(peer);
  return found != quarantined_until_.end() && time_source_.monotonicTime() <= found->second;
}

bool PeerDirectory::isUnavailable(Endpoint peer) const {
  const auto found = unavailable_until_.find(peer);
  return found != unavailable_until_.end() && time_source_.monotonicTime() <= found->second;
}

void PeerDirectory::removeExpired() {
  const MonotonicTime now = time_source_.monotonicTime();
  if (now <= forget_from_) {
    return;
  }
  forget_from_ = MonotonicTime::max();
  forgetOldQuarantines(quarantined_until_);
  forgetOldQuarantines(unavailable_until_);
  peers_visited_ += heard_.size();
  const MonotonicTime first_heard = heard_.eraseBefore(now - settings_.peer_ttl);
  if (heard_.size() > 0) {
    forgetFrom(first_heard + settings_.peer_ttl);
  }
  while (!shown_views_.empty()) {
    const ShownView oldest = *shown_views_.rbegin();
    if (now - oldest.at <= settings_.view_ttl) {
      forgetFrom(oldest.at + settings_.view_ttl);
      break;
    }
    view_shown_at_.erase(oldest.peer);
    shown_views_.erase(oldest);
  }
}

void PeerDirectory::forgetOldQuarantines(std::map<Endpoint, MonotonicTime>& quarantines) {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(quarantines, [&](const auto& entry) { return now > entry.second; });
  for (const auto& [peer, until] : quarantines) {
    forgetFrom(until);
  }
}

void PeerDirectory::add(const PeerInfo& peer) {
  if (peer.address == self_.address || !peer.address.isSet()) {
    return;
  }
  removeExpired();
  const MonotonicTime now = time_source_.monotonicTime();
  heard_.put(peer, now);
  forgetFrom(now + settings_.peer_ttl);
  if (heard_.size() > settings_.max_peers) {
    evictHighestRank();
  }
}

void PeerDirectory::evictHighestRank() {
  const RankedPeer* highest = highestKept();
  if (highest != nullptr) {
    heard_.erase(highest->address);
  }
}

}  // namespace lugfork
