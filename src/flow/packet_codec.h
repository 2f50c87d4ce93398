#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "common/result.h"
#include "flow/flow_packet.h"

namespace lugfork {

/** Why a datagram is not a valid packet of a client. */
enum class PacketError {
  TooShort,
  /** The length field does not match the packet, or exceeds the limit. */
  WrongLength,
  UnknownFlags,
  /** A combination of flags that clients do not send. */
  NotFromClient,
  Last = NotFromClient,
};

inline constexpr std::size_t kPacketErrorCount = static_cast<std::size_t>(PacketError::Last) + 1;

/** @return stable name of an error, for logs and metrics. */
inline const char* toString(PacketError error) {
  switch (error) {
    case PacketError::TooShort:
      return "too_short";
    case PacketError::WrongLength:
      return "wrong_length";
    case PacketError::UnknownFlags:
      return "unknown_flags";
    case PacketError::NotFromClient:
      return "not_from_caller";
  }
  return "unknown";
}

/** Format of packets between clients, balancers and backends; implemented by platform adapters. */
class PacketCodec {
 public:
  virtual ~PacketCodec() = default;

  /** Decodes the fields of a client's packet that routing needs. */
  virtual Result<FlowPacket, PacketError> decode(std::span<const std::uint8_t> bytes) const = 0;

  /** Encodes the datagram that carries a packet to a backend, with the token set. */
  virtual void encodeForBackend(std::span<const std::uint8_t> packet, const Backend& backend,
                                CompactToken token, std::vector<std::uint8_t>& datagram) const = 0;

  /** @return a reset of the packet's flow, sent by the balancer itself. */
  virtual std::vector<std::uint8_t> encodeReset(const FlowPacket& packet) const = 0;
};

}  // namespace lugfork
