#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

/**
 * Identifiers shared by all modules. Each kind of identifier is a distinct type, so that a backend
 * id can't be passed as a service id.
 */
namespace lugfork {

/** Integer identifier that is a distinct type for each tag. */
template <typename Tag, typename Value>
class StrongId {
 public:
  constexpr StrongId() = default;
  explicit constexpr StrongId(Value value) : value_(value) {}

  constexpr Value value() const { return value_; }
  auto operator<=>(const StrongId&) const = default;

 private:
  Value value_{};
};

using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;
using BackendId = StrongId<struct BackendIdTag, std::uint32_t>;
using ZoneId = StrongId<struct ZoneIdTag, std::uint16_t>;
using KeyId = StrongId<struct KeyIdTag, std::uint16_t>;
/** Version of the configuration document; increases with every accepted change. */
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/** Hash of a balancer's name; the name is unique in the fleet. */
using NodeId = StrongId<struct NodeIdTag, std::uint64_t>;

/** Random 128-bit identifier of a flow, chosen by the client. */
struct FlowId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const FlowId&) const = default;
};

/** Identifies one attempt of a flow; a client retries under the next attempt number. */
struct FlowKey {
  FlowId flow;
  std::uint8_t attempt = 0;
  auto operator<=>(const FlowKey&) const = default;

  auto fields() { return std::tie(flow.high, flow.low, attempt); }
};

/** IPv4 address and UDP port, both in host byte order. */
struct Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;

  bool isSet() const { return port != 0; }
  auto fields() { return std::tie(address, port); }
};

/** @return the hexadecimal form of the flow id, 32 digits. */
std::string toString(const FlowId& flow);

/** @return "a.b.c.d:port". */
std::string toString(const Endpoint& endpoint);

/** @return the node id of a balancer: a hash of its name in the settings. */
NodeId nodeIdFromName(const std::string& name);

}  // namespace lugfork

template <typename Tag, typename Value>
struct std::hash<lugfork::StrongId<Tag, Value>> {
  std::size_t operator()(const lugfork::StrongId<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value());
  }
};

template <>
struct std::hash<lugfork::FlowId> {
  std::size_t operator()(const lugfork::FlowId& id) const noexcept { return id.high ^ id.low; }
};

template <>
struct std::hash<lugfork::FlowKey> {
  std::size_t operator()(const lugfork::FlowKey& key) const noexcept {
    return std::hash<lugfork::FlowId>{}(key.flow) + key.attempt;
  }
};

template <>
struct std::hash<lugfork::Endpoint> {
  std::size_t operator()(const lugfork::Endpoint& endpoint) const noexcept {
    return (static_cast<std::size_t>(endpoint.address) << 16) | endpoint.port;
  }
};
