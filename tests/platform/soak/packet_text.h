#pragma once

#include <cstring>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "common/ids.h"

namespace lugfork::soak {

/** A packet of the flow protocol, as clients and backends encode and decode it. */
struct EndPacket {
  static constexpr std::uint8_t kSyn = 4;
  static constexpr std::uint8_t kAck = 2;
  static constexpr std::uint8_t kFin = 128;
  static constexpr std::uint8_t kReset = 64;
  static constexpr std::size_t kHeaderBytes = 32;

  Endpoint source;
  Endpoint destination;
  std::uint32_t echo = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::uint8_t flags = 0;
  /** Set by clients and backends; 0 in a reset that a balancer sends. */
  std::uint32_t sum = 0;
  std::string data;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }

  std::vector<std::uint8_t> encode() const {
    std::vector<std::uint8_t> bytes;
    const auto put = [&](std::uint32_t value, int width) {
      for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<std::uint8_t>(value >> shift));
      }
    };
    put(static_cast<std::uint32_t>(data.size()), 2);
    put(echo, 4);
    put(source.address, 4);
    put(destination.port, 2);
    put(destination.address, 4);
    put(source.port, 2);
    put(sequence, 4);
    put(acknowledged, 4);
    put(flags, 1);
    put(0, 1);
    put(sum, 4);
    bytes.insert(bytes.end(), data.begin(), data.end());
    return bytes;
  }

  static std::optional<EndPacket> decode(std::span<const std::uint8_t> bytes) {
    if (bytes.size() < kHeaderBytes) {
      return std::nullopt;
    }
    std::size_t at = 0;
    const auto get = [&](int width) {
      std::uint32_t value = 0;
      for (int count = 0; count < width; ++count) {
        value = (value << 8) | bytes[at++];
      }
      return value;
    };
    EndPacket packet;
    const std::uint32_t length = get(2);
    packet.echo = get(4);
    packet.source.address = get(4);
    packet.destination.port = static_cast<std::uint16_t>(get(2));
    packet.destination.address = get(4);
    packet.source.port = static_cast<std::uint16_t>(get(2));
    packet.sequence = get(4);
    packet.acknowledged = get(4);
    packet.flags = static_cast<std::uint8_t>(get(1));
    get(1);
    packet.sum = get(4);
    if (bytes.size() != kHeaderBytes + length) {
      return std::nullopt;
    }
    packet.data.assign(bytes.begin() + kHeaderBytes, bytes.end());
    return packet;
  }
};

}  // namespace lugfork::soak
