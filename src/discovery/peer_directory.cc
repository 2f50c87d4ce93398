#include "discovery/peer_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace lugfork {

namespace {

bool hasLowerRank(Endpoint left, Endpoint right) {
  return peerRank(left) < peerRank(right);
}

}  // namespace

PeerRank peerRank(Endpoint peer) {
  const std::uint64_t content = (std::uint64_t{peer.address} << 16) | peer.port;
  return XXH3_64bits(&content, sizeof(content));
}

PeerDirectory::PeerDirectory(PeerDirectorySettings settings, Endpoint own_address,
                             std::vector<Endpoint> seeds, const TimeSource& time_source,
                             RandomGenerator& random)
    : settings_(settings),
      own_address_(own_address),
      seeds_(std::move(seeds)),
      time_source_(time_source),
      random_(random) {
  std::erase(seeds_, own_address_);
}

void PeerDirectory::onAlive(Endpoint peer) {
  failed_at_.erase(peer);
  add(peer);
}

void PeerDirectory::onTold(const std::vector<Endpoint>& peers) {
  for (const Endpoint& peer : peers) {
    // What others tell never refreshes what is known: a dead peer would be told for ever.
    if (!heard_at_.contains(peer) && !isQuarantined(peer)) {
      add(peer);
    }
  }
}

void PeerDirectory::onFailed(Endpoint peer) {
  heard_at_.erase(peer);
  failed_at_[peer] = time_source_.monotonicTime();
}

std::optional<Endpoint> PeerDirectory::pick() {
  std::vector<Endpoint> choices = recent();
  if (choices.empty()) {
    choices = seeds_;
  }
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[random_.below(choices.size())];
}

std::vector<Endpoint> PeerDirectory::recent() {
  forgetOld();
  std::vector<Endpoint> peers;
  for (const auto& [peer, heard_at] : heard_at_) {
    peers.push_back(peer);
  }
  return peers;
}

std::vector<Endpoint> PeerDirectory::ranked() {
  std::vector<Endpoint> peers = recent();
  for (const Endpoint& seed : seeds_) {
    if (!heard_at_.contains(seed) && !isQuarantined(seed)) {
      peers.push_back(seed);
    }
  }
  std::sort(peers.begin(), peers.end(), hasLowerRank);
  return peers;
}

double PeerDirectory::fleetSize() {
  forgetOld();
  const auto known = static_cast<double>(heard_at_.size());
  if (heard_at_.size() < settings_.size) {
    return known + 1;
  }
  PeerRank highest = 1;
  for (const auto& [peer, heard_at] : heard_at_) {
    highest = std::max(highest, peerRank(peer));
  }
  constexpr auto kAllRanks = static_cast<double>(std::numeric_limits<PeerRank>::max());
  return known * (kAllRanks / static_cast<double>(highest)) + 1;
}

bool PeerDirectory::isQuarantined(Endpoint peer) const {
  const auto failed = failed_at_.find(peer);
  return failed != failed_at_.end() &&
         time_source_.monotonicTime() - failed->second <= settings_.quarantine;
}

void PeerDirectory::forgetOld() {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(failed_at_,
                [&](const auto& entry) { return now - entry.second > settings_.quarantine; });
  std::erase_if(heard_at_,
                [&](const auto& entry) { return now - entry.second > settings_.lifetime; });
}

void PeerDirectory::add(Endpoint peer) {
  if (peer == own_address_ || !peer.isSet()) {
    return;
  }
  forgetOld();
  heard_at_[peer] = time_source_.monotonicTime();
  if (heard_at_.size() > settings_.size) {
    evictHighestRank();
  }
}

void PeerDirectory::evictHighestRank() {
  const auto highest = std::max_element(
      heard_at_.begin(), heard_at_.end(),
      [](const auto& left, const auto& right) { return hasLowerRank(left.first, right.first); });
  heard_at_.erase(highest);
}

}  // namespace lugfork
