#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/random_generator.h"
#include "common/time_source.h"

namespace lugfork {

/** Tunables of a PeerDirectory. */
struct PeerDirectorySettings {
  /** Peers remembered at most, besides the seeds. */
  std::size_t size = 32;
  /** Time after which a peer that was not heard of is forgotten. */
  Duration lifetime = seconds(60);
};

/**
 * Addresses of other balancers: the seeds of the settings, which may be old, and those that asked
 * this one or were told by another. Each node knows a few, whatever the size of the fleet.
 */
class PeerDirectory {
 public:
  PeerDirectory(PeerDirectorySettings settings, Endpoint own_address, std::vector<Endpoint> seeds,
                const TimeSource& time_source, RandomGenerator& random);

  /** A peer has shown itself: it asked this node or answered it. */
  void onAlive(Endpoint peer);

  /** Another node told of these peers. */
  void onTold(const std::vector<Endpoint>& peers);

  /** A peer did not answer: it is forgotten, unless it is a seed. */
  void onFailed(Endpoint peer);

  /** @return a random peer that was heard of lately, or a seed; nothing where there is none. */
  std::optional<Endpoint> pick();

  /** @return the peers heard of lately, to tell others. */
  std::vector<Endpoint> recent();

 private:
  void forgetOld();
  void add(Endpoint peer);

  const PeerDirectorySettings settings_;
  const Endpoint own_address_;
  std::vector<Endpoint> seeds_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  std::map<Endpoint, MonotonicTime> heard_at_;
};

}  // namespace lugfork
