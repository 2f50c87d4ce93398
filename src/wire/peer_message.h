#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "flow/backend_report.h"
#include "wire/datagram.h"

/**
 * Messages between balancers, one per ZeroMQ frame. As for datagrams, fields() defines the wire
 * order and the index in the PeerMessage variant is the type number on the wire.
 */
namespace lugfork {

/** Maximum size of a peer message [bytes]. */
inline constexpr std::size_t kMaxPeerMessageBytes = 64UL * 1024;

/** Membership state of a balancer. Within one incarnation the higher state takes precedence. */
enum class MemberState : std::uint8_t {
  Alive = 0,
  Leaving = 1,
  Suspect = 2,
  Dead = 3,
  Last = Dead
};

/** Membership entry of one balancer. */
struct MemberRecord {
  std::string name;
  std::string zone;
  Endpoint peer_address;
  MemberState state = MemberState::Alive;
  /** Incarnation of the member: its start time [Unix ms], incremented by each refutation. */
  std::uint64_t incarnation = 0;
  auto fields() { return std::tie(name, zone, peer_address, state, incarnation); }
  bool operator==(const MemberRecord&) const = default;
};

/** Report on a backend, and whether the backend itself announced draining on the data path. */
struct BackendObservation {
  BackendReport report;
  bool self_announced = false;
  auto fields() { return std::tie(report, self_announced); }
  bool operator==(const BackendObservation&) const = default;
};

/** Version and content digest; distinguishes two documents that have the same version. */
struct ConfigurationId {
  ConfigVersion version;
  std::uint64_t digest = 0;
  auto fields() { return std::tie(version, digest); }
  auto operator<=>(const ConfigurationId&) const = default;
};

/** Gossip that is piggybacked on every probe message. */
struct GossipHeader {
  MemberRecord sender;
  ConfigurationId configuration;
  std::vector<MemberRecord> members;
  std::vector<BackendObservation> observations;
  auto fields() { return std::tie(sender, configuration, members, observations); }
};

/** Liveness probe of a peer. */
struct Ping {
  std::uint64_t sequence = 0;
  GossipHeader gossip;
  auto fields() { return std::tie(sequence, gossip); }
};

/** Reply to a Ping. */
struct PingAck {
  std::uint64_t sequence = 0;
  GossipHeader gossip;
  auto fields() { return std::tie(sequence, gossip); }
};

/** Indirect probe: asks a peer to ping the target and to relay its reply. */
struct PingRequest {
  std::uint64_t sequence = 0;
  Endpoint target;
  GossipHeader gossip;
  auto fields() { return std::tie(sequence, target, gossip); }
};

/** Gossip update that needs no reply. */
struct GossipPush {
  GossipHeader gossip;
  auto fields() { return std::tie(gossip); }
};

/** Requests one page of the peer's member list. */
struct MembersRequest {
  std::uint32_t from_index = 0;
  auto fields() { return std::tie(from_index); }
};

/** One page of members; next_index is 0 in the last page. */
struct MembersReply {
  std::vector<MemberRecord> members;
  std::uint32_t next_index = 0;
  auto fields() { return std::tie(members, next_index); }
};

/** Requests the peer's observations of backends that should get no new work. */
struct ObservationsRequest {
  /** Maximum number of observations in the reply. */
  std::uint32_t limit = 0;
  auto fields() { return std::tie(limit); }
};

/** Reply to an ObservationsRequest. */
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

/** Identifies one resource; the system name is a resource with id 0. */
struct ResourceKey {
  ResourceKind kind = ResourceKind::System;
  std::uint32_t id = 0;
  auto fields() { return std::tie(kind, id); }
  auto operator<=>(const ResourceKey&) const = default;
};

/** One encoded resource. */
struct ResourceRecord {
  ResourceKey key;
  Bytes body;
  auto fields() { return std::tie(key, body); }
  bool operator==(const ResourceRecord&) const = default;
};

/** Requests the delta from the sender's configuration to the peer's. */
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

/** Digest of each bucket of resources; sent if no delta is available. */
struct ConfigurationSummary {
  ConfigurationId configuration;
  std::vector<std::uint64_t> bucket_digests;
  auto fields() { return std::tie(configuration, bucket_digests); }
};

/** Requests buckets of the configuration that a summary describes. */
struct BucketRequest {
  ConfigurationId configuration;
  std::uint32_t bucket_count = 0;
  std::vector<std::uint32_t> buckets;
  auto fields() { return std::tie(configuration, bucket_count, buckets); }
};

/** All resources of the requested buckets. */
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
