#pragma once

#include <set>

#include "common/time_source.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Tunables of the join. */
struct JoinSettings {
  /** Peers that must have answered, or all listed ones where there are fewer. */
  std::size_t min_peers = 2;
  /** After this time one peer and the platform together are enough. */
  Duration grace_period = seconds(1);
  /** After this time the node places with what it has. */
  Duration timeout = seconds(5);
};

/** How far a started node has come. */
enum class JoinState {
  Joining,
  Joined,
  /** The wait ended before enough peers had answered. */
  Degraded,
};

/**
 * Holds placement back until a started node knows what is in force. The platform's answer alone is
 * enough only where its list names no other balancer: a stale platform must not send a restarted
 * node back to an old version that its peers have left.
 */
class JoinController {
 public:
  JoinController(JoinSettings settings, const TimeSource& time_source);

  void onPeerAnswered(const std::string& name, ConfigVersion version);
  void onPlatformConfiguration() { platform_answered_ = true; }

  /** @param listed_peers balancers in the platform's list besides this one. */
  void onMachineList(std::size_t listed_peers);

  void onConfiguration(ConfigVersion version) { version_ = version; }

  /**
   * @return true if a first document of that version may be taken from the platform: peers that
   * could know a newer one have answered, or the wait is over.
   */
  bool mayAdoptFromPlatform(ConfigVersion version) const;

  /** Re-evaluates the state; to be called from the node's tick. */
  void onTick();

  JoinState state() const { return state_; }

 private:
  Duration waited() const { return time_source_.monotonicTime() - started_at_; }
  bool enoughPeersAnswered() const;
  bool isUpToDate() const;

  const JoinSettings settings_;
  const TimeSource& time_source_;
  const MonotonicTime started_at_;
  std::set<std::string> answered_;
  ConfigVersion max_seen_version_;
  ConfigVersion version_;
  bool platform_answered_ = false;
  bool list_received_ = false;
  std::size_t listed_peers_ = 0;
  JoinState state_ = JoinState::Joining;
};

/** Stable name of a state, for logs and status. */
const char* toString(JoinState state);

}  // namespace lugfork
