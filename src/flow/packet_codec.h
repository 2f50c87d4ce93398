#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "common/result.h"
#include "flow/flow_packet.h"

namespace lugfork {

/** Why a datagram is not a caller's packet. */
enum class PacketError {
  TooShort,
  /** The length that the packet states is not its own, or is over the limit. */
  WrongLength,
  UnknownFlags,
  /** Flags that no caller sends together. */
  NotFromClient,
  Last = NotFromClient,
};

inline constexpr std::size_t kPacketErrorCount = static_cast<std::size_t>(PacketError::Last) + 1;

/** Stable name of an error, for logs and metrics. */
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

/** Format of packets between callers, balancers and back ends; each platform's adapter has one. */
class PacketCodec {
 public:
  virtual ~PacketCodec() = default;

  /** Reads what routing needs of a caller's packet. */
  virtual Result<FlowPacket, PacketError> decode(std::span<const std::uint8_t> bytes) const = 0;

  /** Writes the datagram that takes a packet to a back end, with its token set. */
  virtual void encodeForBackend(std::span<const std::uint8_t> packet, const Backend& backend,
                                CompactToken token, std::vector<std::uint8_t>& datagram) const = 0;

  /** @return the balancer's own reset of the packet's flow. */
  virtual std::vector<std::uint8_t> encodeReset(const FlowPacket& packet) const = 0;
};

}  // namespace lugfork
