#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "flow/backend_report.h"
#include "wire/datagram.h"

/**
 * Messages between balancers, one to a ZeroMQ frame. As for datagrams, fields() gives the wire
 * order and the position in the PeerMessage variant is the type's number on the wire.
 */
namespace lugfork {

/** Largest peer message, in bytes. */
inline constexpr std::size_t kMaxPeerMessageBytes = 64UL * 1024;

/** State of a balancer as the fleet believes it. Of one incarnation the higher state wins. */
enum class MemberState : std::uint8_t {
  Alive = 0,
  Leaving = 1,
  Suspect = 2,
  Dead = 3,
  Last = Dead
};

/** One balancer as membership knows it. */
struct MemberRecord {
  std::string name;
  std::string zone;
  Endpoint peer_address;
  MemberState state = MemberState::Alive;
  /** Life of the member: the wall-clock start in milliseconds, raised by each refutation. */
  std::uint64_t incarnation = 0;
  auto fields() { return std::tie(name, zone, peer_address, state, incarnation); }
  bool operator==(const MemberRecord&) const = default;
};

/** A back end's report, and whether the back end itself announced on the data path to drain. */
struct BackendObservation {
  BackendReport report;
  bool self_announced = false;
  auto fields() { return std::tie(report, self_announced); }
  bool operator==(const BackendObservation&) const = default;
};

/** Version and content of a configuration; two documents of one version differ in the digest. */
struct ConfigurationId {
  ConfigVersion version;
  std::uint64_t digest = 0;
  auto fields() { return std::tie(version, digest); }
  auto operator<=>(const ConfigurationId&) const = default;
};

/** What every probe message carries besides its own purpose. */
struct GossipHeader {
  MemberRecord sender;
  ConfigurationId configuration;
  std::vector<MemberRecord> members;
  std::vector<BackendObservation> observations;
  auto fields() { return std::tie(sender, configuration, members, observations); }
};

/** Asks a peer for a sign of life. */
struct Ping {
  std::uint64_t sequence = 0;
  GossipHeader gossip;
  auto fields() { return std::tie(sequence, gossip); }
};

/** Answers a Ping. */
struct PingAck {
  std::uint64_t sequence = 0;
  GossipHeader gossip;
  auto fields() { return std::tie(sequence, gossip); }
};

/** Asks a peer to ping a third one and to pass on its answer. */
struct PingRequest {
  std::uint64_t sequence = 0;
  Endpoint target;
  GossipHeader gossip;
  auto fields() { return std::tie(sequence, target, gossip); }
};

/** News that need no answer. */
struct GossipPush {
  GossipHeader gossip;
  auto fields() { return std::tie(gossip); }
};

/** Asks for a page of the members that the peer knows. */
struct MembersRequest {
  std::uint32_t from_index = 0;
  auto fields() { return std::tie(from_index); }
};

/** One page of members; next_index is 0 after the last page. */
struct MembersReply {
  std::vector<MemberRecord> members;
  std::uint32_t next_index = 0;
  auto fields() { return std::tie(members, next_index); }
};

/** Asks for the back ends that the peer believes should get no new work. */
struct ObservationsRequest {
  /** Most observations that the sender takes. */
  std::uint32_t limit = 0;
  auto fields() { return std::tie(limit); }
};

/** Answers an ObservationsRequest. */
struct ObservationsReply {
  std::vector<BackendObservation> observations;
  auto fields() { return std::tie(observations); }
};

/** Kind of a configuration resource. */
enum class ResourceKind : std::uint8_t {
  System = 0,
  Zone = 1,
  Service = 2,
  Backend = 3,
  TokenKey = 4,
  Last = TokenKey
};

/** Names one resource; the system's name counts as resource with id 0. */
struct ResourceKey {
  ResourceKind kind = ResourceKind::System;
  std::uint32_t id = 0;
  auto fields() { return std::tie(kind, id); }
  auto operator<=>(const ResourceKey&) const = default;
};

/** One resource in its encoded form. */
struct ResourceRecord {
  ResourceKey key;
  Bytes body;
  auto fields() { return std::tie(key, body); }
  bool operator==(const ResourceRecord&) const = default;
};

/** Asks for what leads from the sender's configuration to the peer's. */
struct ConfigurationRequest {
  ConfigurationId current;
  auto fields() { return std::tie(current); }
};

/** Resources that differ between two configurations. */
struct ConfigurationDelta {
  ConfigurationId from;
  ConfigurationId to;
  std::vector<ResourceRecord> changed;
  std::vector<ResourceKey> removed;
  auto fields() { return std::tie(from, to, changed, removed); }
};

/** Digest of each bucket of resources, where no delta can be given. */
struct ConfigurationSummary {
  ConfigurationId configuration;
  std::vector<std::uint64_t> bucket_digests;
  auto fields() { return std::tie(configuration, bucket_digests); }
};

/** Asks for some buckets of the configuration that a summary described. */
struct BucketRequest {
  ConfigurationId configuration;
  std::uint32_t bucket_count = 0;
  std::vector<std::uint32_t> buckets;
  auto fields() { return std::tie(configuration, bucket_count, buckets); }
};

/** All resources of some buckets. */
struct BucketReply {
  ConfigurationId configuration;
  std::vector<std::uint32_t> buckets;
  std::vector<ResourceRecord> resources;
  auto fields() { return std::tie(configuration, buckets, resources); }
};

using PeerMessage =
    std::variant<Ping, PingAck, PingRequest, GossipPush, MembersRequest, MembersReply,
                 ObservationsRequest, ObservationsReply, ConfigurationRequest, ConfigurationDelta,
                 ConfigurationSummary, BucketRequest, BucketReply>;

}  // namespace lugfork
