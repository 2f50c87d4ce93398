#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "common/event_log.h"
#include "common/random_generator.h"
#include "common/time_source.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Settings of the failure detector and of the dissemination of membership updates. */
struct MembershipSettings {
  /** One member is probed per interval. */
  Duration probe_interval = seconds(1);
  /** Timeout of a direct probe; after it the target is probed through other members. */
  Duration probe_timeout = milliseconds(300);
  /** Number of members that are asked to probe the target indirectly. */
  std::size_t indirect_probes = 3;
  /** A suspect is marked dead after this factor times log10(members) probe intervals. */
  double suspicion_factor = 4;
  /** An update is sent this factor times log2(members) times. */
  double retransmit_factor = 3;
  /** Maximum number of pending updates; beyond it the one sent most often is evicted. */
  std::size_t max_updates = 256;
  /** One dead member, or one seed that isn't a member yet, is pinged per interval. */
  Duration reconnect_interval = seconds(5);
  /** Replaces reconnect_interval while there are no live members. */
  Duration join_interval = milliseconds(200);
  /** Number of seeds pinged at a time while there are no live members. */
  std::size_t join_fanout = 3;
  /** A dead member is pruned after this time. */
  Duration dead_member_ttl = std::chrono::hours(6);
  /** Number of members on one page of the member list. */
  std::size_t page_size = 500;
};

/** A balancer in the platform's machine list. */
struct MemberSeed {
  std::string name;
  std::string zone;
  Endpoint peer_address;
};

/** Sends the messages of the membership protocol and receives its change notifications. */
class MembershipHost {
 public:
  virtual ~MembershipHost() = default;

  /** @param target member that the ping is sent to; nullptr if it isn't a member yet. */
  virtual void sendPing(Endpoint peer, std::uint64_t sequence, const MemberRecord* target) = 0;
  virtual void sendPingAck(Endpoint peer, std::uint64_t sequence) = 0;
  virtual void sendPingRequest(Endpoint via, std::uint64_t sequence, Endpoint target) = 0;
  virtual void sendMembersRequest(Endpoint peer, std::uint32_t from_index) = 0;
  virtual void onMemberChanged(const MemberRecord& member, MemberState previous) = 0;
};

/**
 * SWIM-style membership: one probe per interval in shuffled round-robin order, indirect probes,
 * suspicion, refutation by incarnation, and updates piggybacked on other messages. The number of
 * messages that a node sends per second does not depend on the number of members; memory does.
 */
class Membership {
 public:
  Membership(MembershipSettings settings, MemberRecord self, const TimeSource& time_source,
             RandomGenerator& random, MembershipHost& host, EventLog& log);

  /** Sets the peers to contact. The platform's list never marks a member as alive or dead. */
  void setSeeds(std::vector<MemberSeed> seeds);

  void onTick();

  /** Applies the sender's own record and the updates in a message. */
  void onGossip(const GossipHeader& gossip);
  void onPing(Endpoint from, std::uint64_t sequence);
  void onPingRequest(Endpoint from, std::uint64_t sequence, Endpoint target);

  /** @return when the acknowledged ping was sent; nullopt if it is unknown or has expired. */
  std::optional<MonotonicTime> onPingAck(Endpoint from, std::uint64_t sequence);
  void onMembersReply(Endpoint from, const MembersReply& reply);
  MembersReply membersPage(std::uint32_t from_index) const;

  /**
   * Handles a pause of this process: discards the probe in flight and restarts suspicion timeouts,
   * since missing answers don't indicate failures of other members.
   */
  void onPause();

  /** Pings random live members immediately so that their answers confirm the view. */
  void pingRandomMembers(std::size_t count);

  /** Announces that this node is leaving. */
  void startLeaving();

  /**
   * Selects updates for one message, those with the fewest transmissions first.
   * @param receiver the receiver if it is a member; its own record is sent first unless it is
   * alive, so that it can refute it.
   * @param bytes space for updates in the message [bytes].
   */
  std::vector<MemberRecord> takeUpdates(const MemberRecord* receiver, std::size_t bytes);

  const MemberRecord& self() const { return self_; }

  /** @return all known members except this node, including dead ones. */
  const std::vector<MemberRecord>& members() const { return members_; }
  const MemberRecord* member(const std::string& name) const;

  /** @return up to count distinct random live members, restricted to a zone unless it is empty. */
  std::vector<MemberRecord> randomLive(std::size_t count, const std::string& zone = "");

  /** @return number of live members (alive or suspect), excluding this node. */
  std::size_t liveCount() const { return live_count_; }

  /** @return number of live members of the local zone, excluding this node. */
  std::size_t liveInLocalZone() const { return live_in_local_zone_; }

  /** @return number of listed balancers, excluding this one. */
  std::size_t seedCount() const { return seeds_.size(); }

  /** @return a counter that changes whenever the set of live members or their zones changes. */
  std::uint64_t liveGeneration() const { return live_generation_; }

 private:
  struct Probe {
    NodeId target;
    std::uint64_t sequence = 0;
    MonotonicTime sent_at;
    bool indirect_sent = false;
    bool answered = false;
  };
  struct SentPing {
    MonotonicTime sent_at;
    /** Peer that the acknowledgement is relayed to; unset for this node's own probes. */
    Endpoint requester;
    std::uint64_t requester_sequence = 0;
  };
  struct Update {
    NodeId member_id;
    std::uint32_t transmissions = 0;
  };

  /**
   * Whether a record is disseminated as an update. Records from a member list are not, since other
   * members know them already.
   */
  enum class Disseminate { Yes, No };

  void onRecord(const MemberRecord& record, Disseminate disseminate);
  void refute(const MemberRecord& record);
  void addMember(const MemberRecord& record, Disseminate disseminate);
  void updateMember(MemberRecord& member, const MemberRecord& record, Disseminate disseminate);
  void setState(MemberRecord& member, MemberState state, Disseminate disseminate);
  void countLive(const MemberRecord& member, bool added);
  void addUpdate(NodeId member_id);
  void probeNext();
  void finishProbe();
  void probeIndirectly();
  void expireSuspects();
  void reconnect();
  std::vector<const MemberSeed*> unreachedSeeds() const;
  void pruneDead();
  void removeMember(NodeId id);
  std::uint64_t ping(Endpoint peer, const MemberRecord* target, SentPing sent);
  void expirePings();
  std::size_t indexOf(NodeId id) const;
  Duration suspicionTimeout() const;
  std::uint32_t retransmitLimit() const;

  const MembershipSettings settings_;
  MemberRecord self_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  MembershipHost& host_;
  EventLog& log_;
  std::vector<MemberRecord> members_;
  std::unordered_map<NodeId, std::size_t> index_;
  std::unordered_map<NodeId, MonotonicTime> suspected_at_;
  std::unordered_map<NodeId, MonotonicTime> dead_since_;
  std::vector<MemberSeed> seeds_;
  std::vector<NodeId> probe_order_;
  std::size_t next_in_order_ = 0;
  std::optional<Probe> probe_;
  std::unordered_map<std::uint64_t, SentPing> sent_pings_;
  std::vector<Update> updates_;
  std::uint64_t next_sequence_;
  MonotonicTime next_probe_at_;
  MonotonicTime next_reconnect_at_;
  std::size_t live_count_ = 0;
  std::size_t live_in_local_zone_ = 0;
  std::uint64_t live_generation_ = 0;
  bool members_requested_ = false;
};

/** @return true for a member that is alive or suspect. */
inline bool isLive(const MemberRecord& member) {
  return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

/** @return the name of a state in logs and status output. */
const char* toString(MemberState state);

}  // namespace lugfork
