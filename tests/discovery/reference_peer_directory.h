#pragma once

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "common/time_source.h"
#include "discovery/peer_directory.h"

/** Reference implementation of PeerDirectory, which sorts all peers on each query. */
namespace lugfork {

class ReferencePeerDirectory {
 public:
  ReferencePeerDirectory(PeerDirectorySettings settings, PeerInfo self, std::vector<Endpoint> seeds,
                         const TimeSource& time_source)
      : settings_(settings), self_(self), seeds_(std::move(seeds)), time_source_(time_source) {
    std::erase(seeds_, self_.address);
  }

  void onAnswer(Endpoint peer) {
    quarantined_until_.erase(peer);
    add({peer, linkOf(peer)});
  }

  void onContact(const PeerInfo& peer) {
    quarantined_until_.erase(peer.address);
    add(peer);
  }

  void onPeersReported(const std::vector<PeerInfo>& peers) {
    for (const PeerInfo& peer : peers) {
      const auto known = peers_.find(peer.address);
      if (known != peers_.end()) {
        // Reports never refresh a known peer; otherwise a dead peer would be reported forever.
        known->second.link = std::max(known->second.link, peer.link);
      } else if (!isQuarantined(peer.address)) {
        add(peer);
      }
    }
  }

  void onFailed(Endpoint peer) {
    peers_.erase(peer);
    quarantined_until_[peer] = time_source_.monotonicTime() + settings_.quarantine;
  }

  void onUnavailable(Endpoint peer) {
    unavailable_until_[peer] = time_source_.monotonicTime() + settings_.unavailable_quarantine;
  }

  void onViewReported(Endpoint peer) { view_reported_at_[peer] = time_source_.monotonicTime(); }

  std::vector<Endpoint> peersWithView(std::size_t limit) {
    removeExpired();
    std::vector<Endpoint> peers;
    for (const auto& [peer, reported_at] : view_reported_at_) {
      if (!isQuarantined(peer) && !isUnavailable(peer)) {
        peers.push_back(peer);
      }
    }
    std::sort(peers.begin(), peers.end(), [this](Endpoint left, Endpoint right) {
      return view_reported_at_[left] > view_reported_at_[right];
    });
    peers.resize(std::min(peers.size(), limit));
    return peers;
  }

  std::vector<Endpoint> recentPeers() {
    removeExpired();
    std::vector<Endpoint> peers;
    for (const auto& [peer, entry] : peers_) {
      peers.push_back(peer);
    }
    return peers;
  }

  std::vector<PeerInfo> peersToReport(std::size_t limit) {
    std::vector<Endpoint> peers = recentPeers();
    std::sort(peers.begin(), peers.end(),
              [this](Endpoint left, Endpoint right) { return isBetterUpstream(left, right); });
    std::vector<PeerInfo> reported;
    if (self_.address.isSet()) {
      reported.push_back(self_);
    }
    for (const Endpoint& peer : peers) {
      if (reported.size() < limit) {
        reported.push_back({peer, linkOf(peer)});
      }
    }
    return reported;
  }

  std::vector<Endpoint> ranked() {
    std::vector<Endpoint> peers = recentPeers();
    for (const Endpoint& seed : seeds_) {
      if (!peers_.contains(seed)) {
        peers.push_back(seed);
      }
    }
    std::erase_if(peers,
                  [this](Endpoint peer) { return isQuarantined(peer) || isUnavailable(peer); });
    std::sort(peers.begin(), peers.end(),
              [this](Endpoint left, Endpoint right) { return isBetterUpstream(left, right); });
    return peers;
  }

  bool isBetterUpstream(Endpoint left, Endpoint right) const {
    const LinkClass left_link = linkOf(left);
    const LinkClass right_link = linkOf(right);
    return left_link == right_link ? hasLowerRank(left, right) : left_link > right_link;
  }

  bool isOwner(std::uint64_t key, std::size_t owners) {
    const auto weight = [key](Endpoint peer) {
      const std::uint64_t content[] = {key, peerRank(peer)};
      return XXH3_64bits(content, sizeof(content));
    };
    const std::vector<Endpoint> peers = recentPeers();
    if (peers.size() >= settings_.max_peers && !isKeptByOthers()) {
      return false;
    }
    const std::uint64_t local_weight = weight(self_.address);
    std::size_t before_self = 0;
    for (const Endpoint& peer : peers) {
      before_self += weight(peer) < local_weight ? 1 : 0;
    }
    return before_self < owners;
  }

  double fleetSize() {
    removeExpired();
    if (peers_.size() < settings_.max_peers) {
      return static_cast<double>(peers_.size()) + 1;
    }
    // The directory contains all peers up to the highest rank that was kept for its rank.
    const PeerRank highest = highestKeptRank();
    const auto known = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
      return peerRank(entry.first) <= highest;
    });
    constexpr auto kAllRanks = static_cast<double>(std::numeric_limits<PeerRank>::max());
    return static_cast<double>(known) * (kAllRanks / static_cast<double>(highest)) + 1;
  }

 private:
  struct Entry {
    MonotonicTime at;
    LinkClass link = 0;
  };

  static bool hasLowerRank(Endpoint left, Endpoint right) {
    return peerRank(left) < peerRank(right);
  }

  LinkClass linkOf(Endpoint peer) const {
    if (peer == self_.address) {
      return self_.link;
    }
    const auto found = peers_.find(peer);
    return found == peers_.end() ? LinkClass{0} : found->second.link;
  }

  bool isKeptByOthers() const {
    const std::vector<Endpoint> kept_for_link = fastest();
    const bool is_fast =
        kept_for_link.empty() || isBetterUpstream(self_.address, kept_for_link.back());
    return is_fast || peerRank(self_.address) <= highestKeptRank();
  }

  PeerRank highestKeptRank() const {
    const std::vector<Endpoint> kept_for_link = fastest();
    PeerRank highest = 1;
    for (const auto& [peer, entry] : peers_) {
      const bool is_fast =
          std::find(kept_for_link.begin(), kept_for_link.end(), peer) != kept_for_link.end();
      highest = is_fast ? highest : std::max(highest, peerRank(peer));
    }
    return highest;
  }

  bool isQuarantined(Endpoint peer) const {
    const auto found = quarantined_until_.find(peer);
    return found != quarantined_until_.end() && time_source_.monotonicTime() <= found->second;
  }

  bool isUnavailable(Endpoint peer) const {
    const auto found = unavailable_until_.find(peer);
    return found != unavailable_until_.end() && time_source_.monotonicTime() <= found->second;
  }

  void removeExpired() {
    const MonotonicTime now = time_source_.monotonicTime();
    std::erase_if(quarantined_until_, [&](const auto& entry) { return now > entry.second; });
    std::erase_if(unavailable_until_, [&](const auto& entry) { return now > entry.second; });
    std::erase_if(peers_,
                  [&](const auto& entry) { return now - entry.second.at > settings_.peer_ttl; });
    std::erase_if(view_reported_at_,
                  [&](const auto& entry) { return now - entry.second > settings_.view_ttl; });
  }

  void add(const PeerInfo& peer) {
    if (peer.address == self_.address || !peer.address.isSet()) {
      return;
    }
    removeExpired();
    peers_[peer.address] = {time_source_.monotonicTime(), peer.link};
    if (peers_.size() > settings_.max_peers) {
      evictHighestRank();
    }
  }

  void evictHighestRank() {
    const std::vector<Endpoint> kept_for_link = fastest();
    auto highest = peers_.end();
    for (auto entry = peers_.begin(); entry != peers_.end(); ++entry) {
      const bool is_fast = std::find(kept_for_link.begin(), kept_for_link.end(), entry->first) !=
                           kept_for_link.end();
      const bool is_higher = highest == peers_.end() || hasLowerRank(highest->first, entry->first);
      highest = !is_fast && is_higher ? entry : highest;
    }
    if (highest != peers_.end()) {
      peers_.erase(highest);
    }
  }

  std::vector<Endpoint> fastest() const {
    std::vector<Endpoint> peers;
    for (const auto& [peer, entry] : peers_) {
      peers.push_back(peer);
    }
    const std::size_t count =
        std::min({settings_.max_fast_peers, settings_.max_peers / 2, peers.size()});
    const auto end = peers.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(peers.begin(), end, peers.end(), [this](Endpoint left, Endpoint right) {
      return isBetterUpstream(left, right);
    });
    peers.erase(end, peers.end());
    return peers;
  }

  const PeerDirectorySettings settings_;
  const PeerInfo self_;
  std::vector<Endpoint> seeds_;
  const TimeSource& time_source_;
  std::map<Endpoint, Entry> peers_;
  std::map<Endpoint, MonotonicTime> quarantined_until_;
  std::map<Endpoint, MonotonicTime> unavailable_until_;
  std::map<Endpoint, MonotonicTime> view_reported_at_;
};

}  // namespace lugfork
