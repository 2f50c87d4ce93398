#include "discovery/peer_directory.h"

#include <xxhash.h>

#include <iterator>

namespace lugfork {

PeerDirectory::PeerDirectory(PeerDirectorySettings settings, PeerInfo self,
                             std::vector<Endpoint> seeds, const TimeSource& time_source,
                             RandomGenerator& random)
    : settings_(settings),
      self_(self),
      local_rank_(peerRank(self.address)),
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
    if (peers_.contains(peer.address)) {
      // Reports never refresh a known peer; otherwise a dead peer would be reported forever.
      peers_.setLink(peer.address, std::max(peers_.linkOf(peer.address), peer.link));
    } else if (!isQuarantined(peer.address)) {
      add(peer);
    }
  }
}

void PeerDirectory::onFailed(Endpoint peer) {
  peers_.erase(peer);
  quarantined_until_[peer] = time_source_.monotonicTime() + settings_.quarantine;
  scheduleExpiry(quarantined_until_[peer]);
}

void PeerDirectory::onUnavailable(Endpoint peer) {
  unavailable_until_[peer] = time_source_.monotonicTime() + settings_.unavailable_quarantine;
  scheduleExpiry(unavailable_until_[peer]);
}

void PeerDirectory::onViewReported(Endpoint peer) {
  const MonotonicTime now = time_source_.monotonicTime();
  const auto [entry, is_new] = view_reported_at_.try_emplace(peer, now);
  if (!is_new) {
    reported_views_.erase({entry->second, peer});
    entry->second = now;
  }
  reported_views_.insert({now, peer});
  scheduleExpiry(now + settings_.view_ttl);
}

std::vector<Endpoint> PeerDirectory::peersWithView(std::size_t limit) {
  removeExpired();
  std::vector<Endpoint> peers;
  for (const ReportedView& reported : reported_views_) {
    if (peers.size() == limit) {
      break;
    }
    ++peers_visited_;
    if (!isQuarantined(reported.peer) && !isUnavailable(reported.peer)) {
      peers.push_back(reported.peer);
    }
  }
  return peers;
}

std::optional<Endpoint> PeerDirectory::pickRandom() {
  removeExpired();
  if (peers_.size() > 0) {
    const auto place = static_cast<std::ptrdiff_t>(random_.below(peers_.size()));
    return std::next(peers_.byAddress().begin(), place)->first;
  }
  if (seeds_.empty()) {
    return std::nullopt;
  }
  return seeds_[random_.below(seeds_.size())];
}

std::vector<Endpoint> PeerDirectory::recentPeers() {
  removeExpired();
  std::vector<Endpoint> peers;
  for (const auto& [peer, entry] : peers_.byAddress()) {
    peers.push_back(peer);
  }
  return peers;
}

bool PeerDirectory::hasPeers() {
  removeExpired();
  return peers_.size() > 0;
}

std::vector<PeerInfo> PeerDirectory::peersToReport(std::size_t limit) {
  removeExpired();
  std::vector<PeerInfo> reported;
  reported.reserve(std::min(limit, peers_.size() + 1));
  if (self_.address.isSet()) {
    reported.push_back(self_);
  }
  for (const RankedPeer& peer : peers_.byQuality()) {
    if (reported.size() >= limit) {
      break;
    }
    ++peers_visited_;
    reported.push_back({peer.address, peer.link});
  }
  return reported;
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
      if (!peers_.contains(seed->address)) {
        take(*seed);
      }
    }
  };
  for (const RankedPeer& peer : peers_.byQuality()) {
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
  return peer == self_.address ? self_.link : peers_.linkOf(peer);
}

bool PeerDirectory::isOwner(std::uint64_t key, std::size_t owners) {
  const auto weight = [key](PeerRank rank) {
    const std::uint64_t content[] = {key, rank};
    return XXH3_64bits(content, sizeof(content));
  };
  removeExpired();
  if (peers_.size() >= settings_.max_peers && !isKeptByOthers()) {
    return false;
  }
  const std::uint64_t local_weight = weight(local_rank_);
  std::size_t before_self = 0;
  for (const RankedPeer& peer : peers_.byRank()) {
    ++peers_visited_;
    before_self += weight(peer.rank) < local_weight ? 1 : 0;
    if (before_self >= owners) {
      return false;
    }
  }
  return before_self < owners;
}

bool PeerDirectory::isKeptByOthers() const {
  const RankedPeer* last_fast_peer = lastFastPeer();
  const bool is_fast =
      last_fast_peer == nullptr || BetterUpstream()(RankedPeer(self_), *last_fast_peer);
  return is_fast || local_rank_ <= highestKeptRank();
}

const RankedPeer* PeerDirectory::lastFastPeer() const {
  const std::size_t count =
      std::min({settings_.max_fast_peers, settings_.max_peers / 2, peers_.size()});
  peers_visited_ += count;
  return count == 0
             ? nullptr
             : &*std::next(peers_.byQuality().begin(), static_cast<std::ptrdiff_t>(count) - 1);
}

const RankedPeer* PeerDirectory::highestKept() const {
  const RankedPeer* last_fast_peer = lastFastPeer();
  const RankedPeers::ByRank& by_rank = peers_.byRank();
  for (auto peer = by_rank.rbegin(); peer != by_rank.rend(); ++peer) {
    ++peers_visited_;
    if (last_fast_peer == nullptr || BetterUpstream()(*last_fast_peer, *peer)) {
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
  if (peers_.size() < settings_.max_peers) {
    return static_cast<double>(peers_.size()) + 1;
  }
  // The directory contains all peers up to the highest rank that was kept for its rank.
  const PeerRank highest = highestKeptRank();
  std::size_t known = peers_.size();
  const RankedPeers::ByRank& by_rank = peers_.byRank();
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
  if (now <= next_expiry_) {
    return;
  }
  next_expiry_ = MonotonicTime::max();
  removeExpiredQuarantines(quarantined_until_);
  removeExpiredQuarantines(unavailable_until_);
  peers_visited_ += peers_.size();
  const MonotonicTime earliest_contact = peers_.eraseBefore(now - settings_.peer_ttl);
  if (peers_.size() > 0) {
    scheduleExpiry(earliest_contact + settings_.peer_ttl);
  }
  while (!reported_views_.empty()) {
    const ReportedView oldest = *reported_views_.rbegin();
    if (now - oldest.at <= settings_.view_ttl) {
      scheduleExpiry(oldest.at + settings_.view_ttl);
      break;
    }
    view_reported_at_.erase(oldest.peer);
    reported_views_.erase(oldest);
  }
}

void PeerDirectory::removeExpiredQuarantines(std::map<Endpoint, MonotonicTime>& quarantines) {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(quarantines, [&](const auto& entry) { return now > entry.second; });
  for (const auto& [peer, until] : quarantines) {
    scheduleExpiry(until);
  }
}

void PeerDirectory::add(const PeerInfo& peer) {
  if (peer.address == self_.address || !peer.address.isSet()) {
    return;
  }
  removeExpired();
  const MonotonicTime now = time_source_.monotonicTime();
  peers_.put(peer, now);
  scheduleExpiry(now + settings_.peer_ttl);
  if (peers_.size() > settings_.max_peers) {
    evictHighestRank();
  }
}

void PeerDirectory::evictHighestRank() {
  const RankedPeer* highest = highestKept();
  if (highest != nullptr) {
    peers_.erase(highest->address);
  }
}

}  // namespace lugfork
