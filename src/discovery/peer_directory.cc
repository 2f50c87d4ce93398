#include "discovery/peer_directory.h"

#include <algorithm>
#include <iterator>

namespace lugfork {

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
  add(peer);
}

void PeerDirectory::onTold(const std::vector<Endpoint>& peers) {
  for (const Endpoint& peer : peers) {
    // What others tell never refreshes what is known: a dead peer would be told for ever.
    if (!heard_at_.contains(peer)) {
      add(peer);
    }
  }
}

void PeerDirectory::onFailed(Endpoint peer) {
  heard_at_.erase(peer);
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

void PeerDirectory::forgetOld() {
  const MonotonicTime now = time_source_.monotonicTime();
  std::erase_if(heard_at_,
                [&](const auto& entry) { return now - entry.second > settings_.lifetime; });
}

void PeerDirectory::add(Endpoint peer) {
  if (peer == own_address_ || !peer.isSet()) {
    return;
  }
  forgetOld();
  const bool is_full = heard_at_.size() >= settings_.size && !heard_at_.contains(peer);
  if (is_full) {
    const auto replaced =
        std::next(heard_at_.begin(), static_cast<std::ptrdiff_t>(random_.below(heard_at_.size())));
    heard_at_.erase(replaced);
  }
  heard_at_[peer] = time_source_.monotonicTime();
}

}  // namespace lugfork
