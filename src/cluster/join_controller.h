#pragma once

#include <set>

#include "common/time_source.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Settings of the join. */
struct JoinSettings {
  /** Number of peers that must have answered, or all listed ones if there are fewer. */
  std::size_t min_peers = 2;
  /** After this time one peer together with the platform is sufficient. */
  Duration grace_period = seconds(1);
  /** After this time the node places flows with the configuration that it has, if any. */
  Duration timeout = seconds(5);
};

/** Join progress of a started node. */
enum class JoinState {
  Joining,
  Joined,
  /** The join timed out before enough peers had answered. */
  Degraded,
};

/**
 * Blocks placement until a started node has the configuration in force. The platform's answer alone
 * is sufficient only if its machine list contains no other balancer, so that a stale platform
 * can't return a restarted node to a version that its peers have already replaced.
 */
class JoinController {
 public:
  JoinController(JoinSettings settings, const TimeSource& time_source);

  void onPeerAnswered(const std::string& name, ConfigVersion version);
  void onPlatformConfiguration() { platform_answered_ = true; }

  /** @param listed_peers number of balancers in the platform's list, excluding this one. */
  void onMachineList(std::size_t listed_peers);

  void onConfiguration(ConfigVersion version) { version_ = version; }

  /**
   * @return true if a first document of that version may be adopted from the platform: enough peers
   * have answered and none has a newer one, or the join timed out.
   */
  bool mayAdoptFromPlatform(ConfigVersion version) const;

  /** Updates the state; called from the node's tick. */
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

/** @return the name of a state in logs and status output. */
const char* toString(JoinState state);

}  // namespace lugfork
