#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/time_source.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Status that a peer last reported. */
struct PeerStatus {
  /** Version in force at the peer. */
  ConfigVersion version;
  SystemTime received_at;
};

/** Version in force at each peer that has reported it, by peer name. */
class PeerStatusTable {
 public:
  explicit PeerStatusTable(const TimeSource& time_source) : time_source_(time_source) {}

  /** Records the status that a message reports of its sender. */
  void onMessage(const PeerMessage& message) {
    std::visit([this](const auto& body) { record(body); }, message);
  }

  /** @return the last reported status of a peer, or nullptr. */
  const PeerStatus* find(const std::string& name) const {
    const auto found = peers_.find(name);
    return found == peers_.end() ? nullptr : &found->second;
  }

 private:
  template <typename Message>
  void record(const Message& message) {
    if constexpr (requires { message.gossip.sender; }) {
      peers_[message.gossip.sender.name] = {message.gossip.configuration.version,
                                            time_source_.systemTime()};
    }
  }

  const TimeSource& time_source_;
  std::map<std::string, PeerStatus> peers_;
};

}  // namespace lugfork
