#include "cluster/membership.h"

#include <algorithm>
#include <cmath>

namespace lugfork {

namespace {

constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);
/** Encoded size of a record without its two strings. */
constexpr std::size_t kRecordOverheadBytes = 24;
/** An unanswered ping expires after this many probe intervals. */
constexpr int kPingTtlIntervals = 10;
/** Random draws per requested member before falling back to a scan over all members. */
constexpr std::size_t kDrawsPerMember = 4;

std::size_t encodedBytes(const MemberRecord& record) {
  return kRecordOverheadBytes + record.name.size() + record.zone.size();
}

/** @return true if the record overrides the known one: newer incarnation, or a later state. */
bool supersedes(const MemberRecord& record, const MemberRecord& known) {
  return record.incarnation != known.incarnation ? record.incarnation > known.incarnation
                                                 : record.state > known.state;
}

}  // namespace

Membership::Membership(MembershipSettings settings, MemberRecord self,
                       const TimeSource& time_source, RandomGenerator& random, MembershipHost& host,
                       EventLog& log)
    : settings_(settings),
      self_(std::move(self)),
      time_source_(time_source),
      random_(random),
      host_(host),
      log_(log),
      next_sequence_(random.next() >> 16) {}

void Membership::setSeeds(std::vector<MemberSeed> seeds) {
  std::erase_if(seeds, [this](const MemberSeed& seed) { return seed.name == self_.name; });
  seeds_ = std::move(seeds);
}

void Membership::onTick() {
  const MonotonicTime now = time_source_.monotonicTime();
  if (probe_ && !probe_->answered && !probe_->indirect_sent &&
      now >= probe_->sent_at + settings_.probe_timeout) {
    probeIndirectly();
  }
  if (now >= next_probe_at_) {
    // Spreads the first probes of nodes that start simultaneously over the interval.
    const bool first = next_probe_at_ == MonotonicTime();
    const auto interval = static_cast<std::uint64_t>(settings_.probe_interval.count());
    finishProbe();
    expireSuspects();
    expirePings();
    next_probe_at_ = now + (first ? Duration(random_.below(interval)) : settings_.probe_interval);
    probeNext();
  }
  if (now >= next_reconnect_at_) {
    next_reconnect_at_ =
        now + (live_count_ == 0 ? settings_.join_interval : settings_.reconnect_interval);
    reconnect();
    pruneDead();
  }
}

void Membership::onGossip(const GossipHeader& gossip) {
  onRecord(gossip.sender, Disseminate::Yes);
  for (const MemberRecord& record : gossip.members) {
    onRecord(record, Disseminate::Yes);
  }
}

void Membership::onPing(Endpoint from, std::uint64_t sequence) {
  host_.sendPingAck(from, sequence);
}

void Membership::onPingRequest(Endpoint from, std::uint64_t sequence, Endpoint target) {
  ping(target, nullptr, {time_source_.monotonicTime(), from, sequence});
}

std::optional<MonotonicTime> Membership::onPingAck(Endpoint from, std::uint64_t sequence) {
  const auto found = sent_pings_.find(sequence);
  if (found == sent_pings_.end()) {
    return std::nullopt;
  }
  const SentPing sent = found->second;
  sent_pings_.erase(found);
  if (sent.requester.isSet()) {
    host_.sendPingAck(sent.requester, sent.requester_sequence);
    return sent.sent_at;
  }
  if (probe_ && probe_->sequence == sequence) {
    probe_->answered = true;
  }
  if (!members_requested_) {
    members_requested_ = true;
    host_.sendMembersRequest(from, 0);
  }
  return sent.sent_at;
}

void Membership::onMembersReply(Endpoint from, const MembersReply& reply) {
  for (const MemberRecord& record : reply.members) {
    onRecord(record, Disseminate::No);
  }
  if (reply.next_index != 0) {
    host_.sendMembersRequest(from, reply.next_index);
  }
}

MembersReply Membership::membersPage(std::uint32_t from_index) const {
  MembersReply reply;
  const std::size_t end = std::min(members_.size(), from_index + settings_.page_size);
  for (std::size_t index = from_index; index < end; ++index) {
    reply.members.push_back(members_[index]);
  }
  reply.next_index = end < members_.size() ? static_cast<std::uint32_t>(end) : 0;
  return reply;
}

void Membership::onPause() {
  probe_.reset();
  for (auto& [id, suspected_at] : suspected_at_) {
    suspected_at = time_source_.monotonicTime();
  }
}

void Membership::pingRandomMembers(std::size_t count) {
  for (const MemberRecord& member : randomLive(count)) {
    ping(member.peer_address, &member, {time_source_.monotonicTime(), {}, 0});
  }
}

void Membership::startLeaving() {
  self_.state = MemberState::Leaving;
  ++self_.incarnation;
  addUpdate(nodeIdFromName(self_.name));
}

std::vector<MemberRecord> Membership::takeUpdates(const MemberRecord* receiver, std::size_t bytes) {
  std::vector<MemberRecord> taken;
  std::size_t used = 0;
  if (receiver != nullptr && receiver->state != MemberState::Alive) {
    taken.push_back(*receiver);
    used += encodedBytes(*receiver);
  }
  const auto fewer_transmissions = [](const Update& left, const Update& right) {
    return left.transmissions < right.transmissions;
  };
  std::stable_sort(updates_.begin(), updates_.end(), fewer_transmissions);
  for (Update& update : updates_) {
    const std::size_t index = indexOf(update.member_id);
    const MemberRecord& record = index == kNoIndex ? self_ : members_[index];
    if (used + encodedBytes(record) > bytes) {
      break;
    }
    used += encodedBytes(record);
    ++update.transmissions;
    taken.push_back(record);
  }
  const std::uint32_t limit = retransmitLimit();
  std::erase_if(updates_, [limit](const Update& update) { return update.transmissions >= limit; });
  // Anti-entropy: one random record per message makes up for lost updates.
  if (!members_.empty()) {
    const MemberRecord& record = members_[random_.below(members_.size())];
    const bool fits = used + encodedBytes(record) <= bytes;
    if (record.state != MemberState::Dead && fits) {
      taken.push_back(record);
    }
  }
  return taken;
}

const MemberRecord* Membership::member(const std::string& name) const {
  const std::size_t index = indexOf(nodeIdFromName(name));
  return index == kNoIndex ? nullptr : &members_[index];
}

std::vector<MemberRecord> Membership::randomLive(std::size_t count, const std::string& zone) {
  std::vector<MemberRecord> chosen;
  const std::size_t size = members_.size();
  const auto take_if_wanted = [&](const MemberRecord& member) {
    const bool wanted = isLive(member) && (zone.empty() || member.zone == zone);
    if (wanted && std::find(chosen.begin(), chosen.end(), member) == chosen.end()) {
      chosen.push_back(member);
    }
  };
  const std::size_t draws = size > kDrawsPerMember * count ? kDrawsPerMember * count : 0;
  for (std::size_t draw = 0; draw < draws && chosen.size() < count; ++draw) {
    take_if_wanted(members_[random_.below(size)]);
  }
  const std::size_t start = random_.below(size);
  for (std::size_t step = 0; step < size && chosen.size() < count; ++step) {
    take_if_wanted(members_[(start + step) % size]);
  }
  return chosen;
}

void Membership::onRecord(const MemberRecord& record, Disseminate disseminate) {
  if (record.name == self_.name) {
    refute(record);
    return;
  }
  const std::size_t index = indexOf(nodeIdFromName(record.name));
  if (index != kNoIndex) {
    if (supersedes(record, members_[index])) {
      updateMember(members_[index], record, disseminate);
    }
  } else if (record.state != MemberState::Dead) {
    addMember(record, disseminate);
  }
}

void Membership::refute(const MemberRecord& record) {
  if (!supersedes(record, self_)) {
    return;
  }
  // Also refutes a record of an earlier run whose incarnation is higher because the clock was
  // ahead.
  self_.incarnation = record.incarnation + 1;
  addUpdate(nodeIdFromName(self_.name));
  log_.write(LogLevel::Info, "membership", "refuted",
             {{"state", toString(record.state)}, {"incarnation", self_.incarnation}});
}

void Membership::addMember(const MemberRecord& record, Disseminate disseminate) {
  const NodeId id = nodeIdFromName(record.name);
  index_[id] = members_.size();
  members_.push_back(record);
  const std::size_t position = random_.below(probe_order_.size() + 1);
  probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(position), id);
  countLive(record, true);
  ++live_generation_;
  if (record.state == MemberState::Suspect) {
    suspected_at_[id] = time_source_.monotonicTime();
  }
  if (disseminate == Disseminate::Yes) {
    addUpdate(id);
  }
  host_.onMemberChanged(record, MemberState::Dead);
}

void Membership::updateMember(MemberRecord& member, const MemberRecord& record,
                              Disseminate disseminate) {
  countLive(member, false);
  live_generation_ += member.zone != record.zone ? 1 : 0;
  member.zone = record.zone;
  member.peer_address = record.peer_address;
  member.incarnation = record.incarnation;
  countLive(member, true);
  setState(member, record.state, disseminate);
}

void Membership::setState(MemberRecord& member, MemberState state, Disseminate disseminate) {
  const NodeId id = nodeIdFromName(member.name);
  const MemberState previous = member.state;
  const bool was_live = isLive(member);
  countLive(member, false);
  member.state = state;
  countLive(member, true);
  live_generation_ += was_live != isLive(member) ? 1 : 0;
  suspected_at_.erase(id);
  dead_since_.erase(id);
  if (state == MemberState::Suspect) {
    suspected_at_[id] = time_source_.monotonicTime();
  } else if (state == MemberState::Dead) {
    dead_since_[id] = time_source_.monotonicTime();
  }
  if (disseminate == Disseminate::Yes) {
    addUpdate(id);
  }
  if (state != previous) {
    host_.onMemberChanged(member, previous);
  }
}

void Membership::countLive(const MemberRecord& member, bool added) {
  if (!isLive(member)) {
    return;
  }
  const std::size_t in_local_zone = member.zone == self_.zone ? 1 : 0;
  live_count_ = added ? live_count_ + 1 : live_count_ - 1;
  live_in_local_zone_ =
      added ? live_in_local_zone_ + in_local_zone : live_in_local_zone_ - in_local_zone;
}

void Membership::addUpdate(NodeId member_id) {
  const auto found =
      std::find_if(updates_.begin(), updates_.end(),
                   [member_id](const Update& update) { return update.member_id == member_id; });
  if (found != updates_.end()) {
    found->transmissions = 0;
    return;
  }
  if (updates_.size() >= settings_.max_updates) {
    const auto most_transmitted = std::max_element(
        updates_.begin(), updates_.end(), [](const Update& left, const Update& right) {
          return left.transmissions < right.transmissions;
        });
    updates_.erase(most_transmitted);
  }
  updates_.push_back({member_id, 0});
}

void Membership::probeNext() {
  for (std::size_t tried = 0; tried < probe_order_.size(); ++tried) {
    if (next_in_order_ >= probe_order_.size()) {
      next_in_order_ = 0;
      for (std::size_t index = probe_order_.size(); index > 1; --index) {
        std::swap(probe_order_[index - 1], probe_order_[random_.below(index)]);
      }
    }
    const NodeId target = probe_order_[next_in_order_++];
    const MemberRecord& member = members_[indexOf(target)];
    if (member.state != MemberState::Dead) {
      const MonotonicTime now = time_source_.monotonicTime();
      const std::uint64_t sequence = ping(member.peer_address, &member, {now, {}, 0});
      probe_ = Probe{target, sequence, now, false, false};
      return;
    }
  }
}

void Membership::finishProbe() {
  if (probe_ && !probe_->answered) {
    const std::size_t index = indexOf(probe_->target);
    if (index != kNoIndex && members_[index].state < MemberState::Suspect) {
      log_.write(LogLevel::Warn, "membership", "member_suspected",
                 {{"member", members_[index].name}});
      setState(members_[index], MemberState::Suspect, Disseminate::Yes);
    }
  }
  probe_.reset();
}

void Membership::probeIndirectly() {
  probe_->indirect_sent = true;
  const std::size_t index = indexOf(probe_->target);
  if (index == kNoIndex) {
    return;
  }
  const Endpoint target = members_[index].peer_address;
  for (const MemberRecord& helper : randomLive(settings_.indirect_probes)) {
    if (helper.peer_address != target) {
      host_.sendPingRequest(helper.peer_address, probe_->sequence, target);
    }
  }
}

void Membership::expireSuspects() {
  const MonotonicTime limit = time_source_.monotonicTime() - suspicionTimeout();
  std::vector<NodeId> expired;
  for (const auto& [id, suspected_at] : suspected_at_) {
    if (suspected_at <= limit) {
      expired.push_back(id);
    }
  }
  std::sort(expired.begin(), expired.end());
  for (const NodeId id : expired) {
    MemberRecord& member = members_[indexOf(id)];
    log_.write(LogLevel::Warn, "membership", "member_dead", {{"member", member.name}});
    setState(member, MemberState::Dead, Disseminate::Yes);
  }
}

void Membership::reconnect() {
  const MonotonicTime now = time_source_.monotonicTime();
  const std::size_t attempts = live_count_ == 0 ? settings_.join_fanout : 1;
  const std::vector<const MemberSeed*> unreached = unreachedSeeds();
  for (std::size_t attempt = 0; attempt < attempts && !unreached.empty(); ++attempt) {
    const MemberSeed& seed = *unreached[random_.below(unreached.size())];
    ping(seed.peer_address, member(seed.name), {now, {}, 0});
  }
  if (unreached.empty() && !dead_since_.empty()) {
    const MemberRecord& candidate = members_[random_.below(members_.size())];
    if (candidate.state == MemberState::Dead) {
      ping(candidate.peer_address, &candidate, {now, {}, 0});
    }
  }
}

std::vector<const MemberSeed*> Membership::unreachedSeeds() const {
  std::vector<const MemberSeed*> unreached;
  for (const MemberSeed& seed : seeds_) {
    const MemberRecord* known = member(seed.name);
    if (known == nullptr || known->state == MemberState::Dead) {
      unreached.push_back(&seed);
    }
  }
  return unreached;
}

void Membership::pruneDead() {
  const MonotonicTime limit = time_source_.monotonicTime() - settings_.dead_member_ttl;
  std::vector<NodeId> expired;
  for (const auto& [id, dead_since] : dead_since_) {
    if (dead_since <= limit) {
      expired.push_back(id);
    }
  }
  std::sort(expired.begin(), expired.end());
  for (const NodeId id : expired) {
    removeMember(id);
  }
}

void Membership::removeMember(NodeId id) {
  const std::size_t index = indexOf(id);
  dead_since_.erase(id);
  index_.erase(id);
  if (index + 1 != members_.size()) {
    members_[index] = std::move(members_.back());
    index_[nodeIdFromName(members_[index].name)] = index;
  }
  members_.pop_back();
  std::erase(probe_order_, id);
  std::erase_if(updates_, [id](const Update& update) { return update.member_id == id; });
}

std::uint64_t Membership::ping(Endpoint peer, const MemberRecord* target, SentPing sent) {
  const std::uint64_t sequence = ++next_sequence_;
  sent_pings_[sequence] = sent;
  host_.sendPing(peer, sequence, target);
  return sequence;
}

void Membership::expirePings() {
  const MonotonicTime limit =
      time_source_.monotonicTime() - kPingTtlIntervals * settings_.probe_interval;
  std::erase_if(sent_pings_, [limit](const auto& entry) { return entry.second.sent_at < limit; });
}

std::size_t Membership::indexOf(NodeId id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? kNoIndex : found->second;
}

Duration Membership::suspicionTimeout() const {
  const double scale = std::max(1.0, std::log10(static_cast<double>(live_count_ + 2)));
  const auto interval = static_cast<double>(settings_.probe_interval.count());
  return Duration(static_cast<std::int64_t>(settings_.suspicion_factor * scale * interval));
}

std::uint32_t Membership::retransmitLimit() const {
  const double scale = std::ceil(std::log2(static_cast<double>(live_count_ + 2)));
  return static_cast<std::uint32_t>(std::ceil(settings_.retransmit_factor * scale));
}

const char* toString(MemberState state) {
  switch (state) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Dead:
      return "dead";
  }
  return "unknown";
}

}  // namespace lugfork
