#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "common/event_log.h"
#include "common/random_generator.h"
#include "common/time_source.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Tunables of the failure detector and of the spread of rumours. */
struct MembershipSettings {
  /** One member is probed in each interval. */
  Duration probe_interval = seconds(1);
  /** Time after which an unanswered direct probe is repeated through other members. */
  Duration probe_timeout = milliseconds(300);
  /** Members through which an indirect probe goes. */
  std::size_t indirect_probes = 3;
  /** A suspect is declared dead after this factor times log10(members) probe intervals. */
  double suspicion_factor = 4;
  /** A update is sent this factor times log2(members) times. */
  double retransmit_factor = 3;
  /** Rumours waiting at a time; beyond it the most sent one is dropped. */
  std::size_t max_updates = 256;
  /** A member believed dead, or a seed that is no member yet, is tried in each interval. */
  Duration reconnect_interval = seconds(5);
  /** Interval of the same while no member is known. */
  Duration join_interval = milliseconds(200);
  /** Seeds tried at a time while no member is known. */
  std::size_t join_fanout = 3;
  /** A dead member is forgotten after this time. */
  Duration dead_member_ttl = std::chrono::hours(6);
  /** Members on one page of the member list. */
  std::size_t page_size = 500;
};

/** A balancer that the platform lists. */
struct MemberSeed {
  std::string name;
  std::string zone;
  Endpoint peer_address;
};

/** Sends the messages that membership asks for, and hears of changes. */
class MembershipHost {
 public:
  virtual ~MembershipHost() = default;

  /** @param about member that the ping goes to; nullptr where it is no member yet. */
  virtual void sendPing(Endpoint peer, std::uint64_t sequence, const MemberRecord* about) = 0;
  virtual void sendPingAck(Endpoint peer, std::uint64_t sequence) = 0;
  virtual void sendPingRequest(Endpoint via, std::uint64_t sequence, Endpoint target) = 0;
  virtual void sendMembersRequest(Endpoint peer, std::uint32_t from_index) = 0;
  virtual void onMemberChanged(const MemberRecord& member, MemberState previous) = 0;
};

/**
 * SWIM-style membership: one probe an interval to a member in shuffled round-robin order, indirect
 * probes, suspicion and refutation by incarnation, rumours carried by other messages. Messages of
 * a node and second do not depend on the number of members; memory does.
 */
class Membership {
 public:
  Membership(MembershipSettings settings, MemberRecord self, const TimeSource& time_source,
             RandomGenerator& random, MembershipHost& host, EventLog& log);

  /** Takes the platform's list: it says whom to ask, never who is alive or dead. */
  void setSeeds(std::vector<MemberSeed> seeds);

  void onTick();

  /** Takes the sender's own record and the rumours of a message. */
  void onGossip(const GossipHeader& gossip);
  void onPing(Endpoint from, std::uint64_t sequence);
  void onPingRequest(Endpoint from, std::uint64_t sequence, Endpoint target);

  /** @return when the acknowledged ping was sent; nothing for an unknown or late one. */
  std::optional<MonotonicTime> onPingAck(Endpoint from, std::uint64_t sequence);
  void onMembersReply(Endpoint from, const MembersReply& reply);
  MembersReply membersPage(std::uint32_t from_index) const;

  /** This process did not run for a while: probes from before say nothing about others. */
  void onPause();

  /** Pings some live members at once, to have the view confirmed. */
  void pingRandomMembers(std::size_t count);

  /** Announces that this node is leaving. */
  void startLeaving();

  /**
   * Takes rumours for one message, the least sent first.
   * @param about the receiver if it is a member: it hears first what is said of itself.
   * @param bytes room in the message.
   */
  std::vector<MemberRecord> takeUpdates(const MemberRecord* about, std::size_t bytes);

  const MemberRecord& self() const { return self_; }

  /** @return all known members without this node, the dead included. */
  const std::vector<MemberRecord>& members() const { return members_; }
  const MemberRecord* member(const std::string& name) const;

  /** @return up to count distinct live members, drawn at random; of one zone unless empty. */
  std::vector<MemberRecord> randomLive(std::size_t count, const std::string& zone = "");

  /** @return live members (alive or suspected) without this node. */
  std::size_t liveCount() const { return live_count_; }

  /** @return live members of this node's zone, without this node. */
  std::size_t liveInLocalZone() const { return live_in_local_zone_; }

  /** @return listed balancers besides this one. */
  std::size_t seedCount() const { return seeds_.size(); }

  /** Changes with every change of the set of live members. */
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
    /** Where the acknowledgement is passed on to; unset for this node's own probes. */
    Endpoint requester;
    std::uint64_t requester_sequence = 0;
  };
  struct Update {
    NodeId about;
    std::uint32_t transmissions = 0;
  };

  /** Whether a record is passed on as a update: those of a member list are known already. */
  enum class Disseminate { Yes, No };

  void onRecord(const MemberRecord& record, Disseminate disseminate);
  void refute(const MemberRecord& record);
  void addMember(const MemberRecord& record, Disseminate disseminate);
  void updateMember(MemberRecord& member, const MemberRecord& record, Disseminate disseminate);
  void setState(MemberRecord& member, MemberState state, Disseminate disseminate);
  void countLive(const MemberRecord& member, bool added);
  void addUpdate(NodeId about);
  void probeNext();
  void finishProbe();
  void probeIndirectly();
  void expireSuspects();
  void reconnect();
  std::vector<const MemberSeed*> unreachedSeeds() const;
  void pruneDead();
  void removeMember(NodeId id);
  std::uint64_t ping(Endpoint peer, const MemberRecord* about, SentPing sent);
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

/** @return true for a member that takes part in the work of the fleet. */
inline bool isLive(const MemberRecord& member) {
  return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

/** Stable name of a state, for logs and status. */
const char* toString(MemberState state);

}  // namespace lugfork
