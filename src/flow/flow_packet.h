#pragma once

#include <cstdint>

#include "config/configuration.h"
#include "flow/compact_token.h"

namespace lugfork {

/** Header fields of a client's packet that routing needs; payloads are not inspected. */
struct FlowPacket {
  Endpoint client;
  Endpoint service;
  /** Requests a new flow. */
  bool opens = false;
  /** The client sends no more data. */
  bool closes = false;
  /** The client aborts the flow; no answer to this packet is expected. */
  bool aborts = false;
  CompactToken token;
  /** Sequence number of the packet's first byte. */
  std::uint32_t sequence = 0;
  /** Next byte that the client expects; in an opening, the number of earlier transmissions. */
  std::uint32_t acknowledged = 0;
  std::uint16_t payload_bytes = 0;
  /** The opening was queued here for so long that a backend may have accepted a retransmission. */
  bool may_be_accepted = false;

  FlowId flow() const { return flowIdOf(client, service); }
};

/** Executes the decisions of a PacketRouter. */
class PacketSender {
 public:
  virtual ~PacketSender() = default;

  /** Forwards the current packet, unchanged except for its token. */
  virtual void forwardPacket(const Backend& backend, CompactToken token) = 0;

  /** Resets the flow of the packet at the client; it has ended or was not opened. */
  virtual void resetClient(const FlowPacket& packet) = 0;
};

}  // namespace lugfork
