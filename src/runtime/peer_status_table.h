#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/time_source.h"
#include "wire/peer_message.h"

namespace lugfork {

/** What a peer last said of itself. */
struct PeerStatus {
  /** Version in force there. */
  ConfigVersion version;
  SystemTime heard_at;
};

/** Version in force at each peer that this node heard from, by the peer's name. */
class PeerStatusTable {
 public:
  explicit PeerStatusTable(const TimeSource& time_source) : time_source_(time_source) {}

  /** Notes what a message says of its sender. */
  void onMessage(const PeerMessage& message) {
    std::visit([this](const auto& body) { note(body); }, message);
  }

  /** @return the last word of a peer, or nullptr. */
  const PeerStatus* find(const std::string& name) const {
    const auto found = peers_.find(name);
    return found == peers_.end() ? nullptr : &found->second;
  }

 private:
  template <typename Message>
  void note(const Message& message) {
    if constexpr (requires { message.gossip.sender; }) {
      peers_[message.gossip.sender.name] = {message.gossip.configuration.version,
                                            time_source_.systemTime()};
    }
  }

  const TimeSource& time_source_;
  std::map<std::string, PeerStatus> peers_;
};

}  // namespace lugfork
