#pragma once

#include <cstdint>

#include "config/configuration.h"
#include "flow/compact_token.h"

namespace lugfork {

/** What a packet from a caller tells about its flow; its content stays with the two ends. */
struct FlowPacket {
  Endpoint client;
  Endpoint service;
  /** Asks for a new flow. */
  bool opens = false;
  /** The caller sends nothing more. */
  bool closes = false;
  /** The caller gives the flow up; it wants no answer to this packet. */
  bool aborts = false;
  CompactToken token;
  /** Number of the packet's first byte. */
  std::uint32_t sequence = 0;
  /** Next byte that the caller expects; for an opening packet, its copies sent before. */
  std::uint32_t acknowledged = 0;
  std::uint16_t payload_bytes = 0;
  /** An opening that has waited here for so long that a copy of it may be at a server already. */
  bool may_be_accepted = false;

  FlowId flow() const { return flowIdOf(client, service); }
};

/** Sends what a PacketRouter decides. */
class PacketSender {
 public:
  virtual ~PacketSender() = default;

  /** Sends the packet at hand on, unchanged but for its token. */
  virtual void forwardPacket(const Backend& backend, CompactToken token) = 0;

  /** Tells the caller of the packet that its flow is over or was not opened. */
  virtual void resetClient(const FlowPacket& packet) = 0;
};

}  // namespace lugfork
