#include "cluster/join_controller.h"

#include <algorithm>

namespace lugfork {

JoinController::JoinController(JoinSettings settings, const TimeSource& time_source)
    : settings_(settings), time_source_(time_source), started_at_(time_source.monotonicTime()) {}

void JoinController::onPeerAnswered(const std::string& name, ConfigVersion version) {
  if (state_ == JoinState::Joined) {
    return;
  }
  answered_.insert(name);
  max_seen_version_ = std::max(max_seen_version_, version);
}

void JoinController::onMachineList(std::size_t listed_peers) {
  list_received_ = true;
  listed_peers_ = listed_peers;
}

bool JoinController::mayAdoptFromPlatform(ConfigVersion version) const {
  if (waited() >= settings_.timeout) {
    return true;
  }
  return version >= max_seen_version_ && enoughPeersAnswered();
}

void JoinController::onTick() {
  if (state_ == JoinState::Joined) {
    return;
  }
  if (isUpToDate()) {
    state_ = JoinState::Joined;
    answered_.clear();
  } else if (waited() >= settings_.timeout && version_ != ConfigVersion()) {
    state_ = JoinState::Degraded;
  }
}

bool JoinController::enoughPeersAnswered() const {
  if (answered_.size() >= settings_.min_peers) {
    return true;
  }
  if (list_received_ && answered_.size() >= listed_peers_) {
    return true;
  }
  return !answered_.empty() && waited() >= settings_.grace_period;
}

bool JoinController::isUpToDate() const {
  if (version_ == ConfigVersion() || version_ < max_seen_version_) {
    return false;
  }
  if (answered_.size() >= settings_.min_peers) {
    return true;
  }
  return platform_answered_ && enoughPeersAnswered();
}

const char* toString(JoinState state) {
  switch (state) {
    case JoinState::Joining:
      return "joining";
    case JoinState::Joined:
      return "joined";
    case JoinState::Degraded:
      return "degraded";
  }
  return "unknown";
}

}  // namespace lugfork
