#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "wire/datagram.h"

/**
 * Messages between balancers, one to a ZeroMQ frame. As for datagrams, fields() gives the wire
 * order and the position in the PeerMessage variant is the type's number on the wire.
 */
namespace lugfork {

/** Largest peer message, in bytes. */
inline constexpr std::size_t kMaxPeerMessageBytes = 64UL * 1024;

/** Asks a peer for a sign of life and tells the version in force here. */
struct Ping {
  NodeId sender;
  std::uint64_t sequence = 0;
  ConfigVersion config_version;
  auto fields() { return std::tie(sender, sequence, config_version); }
};

/** Answers a Ping. */
struct PingAck {
  NodeId sender;
  std::uint64_t sequence = 0;
  ConfigVersion config_version;
  auto fields() { return std::tie(sender, sequence, config_version); }
};

/** Asks for the configuration in force at the peer, if it is newer than the sender's. */
struct ConfigurationRequest {
  NodeId sender;
  ConfigVersion version_in_force;
  auto fields() { return std::tie(sender, version_in_force); }
};

/** A whole configuration document as JSON. */
struct ConfigurationReply {
  NodeId sender;
  std::string document;
  auto fields() { return std::tie(sender, document); }
};

using PeerMessage = std::variant<Ping, PingAck, ConfigurationRequest, ConfigurationReply>;

}  // namespace lugfork
