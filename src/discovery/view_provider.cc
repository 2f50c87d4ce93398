#include "discovery/view_provider.h"

#include <algorithm>
#include <utility>

namespace lugfork {

namespace {

constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
/** Peers with a view that a balancer waiting for this one's first view is referred to. */
constexpr std::size_t kReferralsPerRefusal = 2;

}  // namespace

ViewProvider::ViewProvider(ViewProviderSettings settings, const ViewOwner& owner,
                           PeerDirectory& directory, Scheduler& scheduler,
                           const TimeSource& time_source, Send send)
    : settings_(settings),
      owner_(owner),
      directory_(directory),
      scheduler_(scheduler),
      time_source_(time_source),
      send_(std::move(send)),
      started_at_(time_source.monotonicTime()),
      plan_(settings.spread, settings.link_bytes_per_s, time_source),
      copy_queue_(settings.copy_queue, settings.link_bytes_per_s, time_source) {}

void ViewProvider::onRequest(const ViewRequest& request, Endpoint reply_to) {
  directory_.onContact({request.from, request.link});
  const bool has_view = request.after != 0;
  if (has_view) {
    directory_.onViewReported(request.from);
  }
  // An adopted view has no history, so changes can only be sent from this balancer's own view.
  const bool can_answer = has_view ? owner_.viewStatus().serves_view : status().serves_view;
  if (!can_answer) {
    enqueue(request, reply_to);
    return;
  }
  if (has_view) {
    answerChanges(request, reply_to);
  } else {
    answerWholeView({request, reply_to});
  }
}

void ViewProvider::onPeersRequest(const PeersRequest& request, Endpoint reply_to) {
  send_(reply_to, PeersReply{request.request, directory_.peersToReport(kMaxPeersPerMessage)});
  directory_.onContact(request.from);
}

void ViewProvider::onViewReady() {
  if (std::exchange(has_adopted_, false)) {
    // Copies of the adopted view continue; new requests get this balancer's own view.
    whole_body_ = nullptr;
  }
  answerQueue();
}

void ViewProvider::adopt(Bytes body, const ViewStatus& status) {
  if (owner_.viewStatus().serves_view) {
    return;
  }
  has_adopted_ = true;
  const std::uint64_t hash = hashBody(body);
  whole_body_ = std::make_shared<WholeBody>(
      WholeBody{std::move(body), hash, status, time_source_.monotonicTime()});
  answerQueue();
}

ViewStatus ViewProvider::status() const {
  return has_adopted_ ? statusOf(*whole_body_) : owner_.viewStatus();
}

ViewStatus ViewProvider::statusOf(const WholeBody& body) const {
  ViewStatus current = body.status;
  current.age_ms += toWireMilliseconds(time_source_.monotonicTime() - body.made_at);
  return current;
}

void ViewProvider::answerQueue() {
  const MonotonicTime now = time_source_.monotonicTime();
  std::vector<ViewCopyQueue::Receiver> receivers;
  for (const auto& [reply_to, queued] : std::exchange(queue_, {})) {
    if (now - queued.requested_at <= settings_.queue_ttl) {
      receivers.push_back(queued.receiver);
    }
  }
  // Fast links first: these receivers relay the view to the others.
  std::sort(receivers.begin(), receivers.end(), [](const auto& left, const auto& right) {
    const bool is_same_link = left.request.link == right.request.link;
    return is_same_link ? left.reply_to < right.reply_to : left.request.link > right.request.link;
  });
  for (const ViewCopyQueue::Receiver& receiver : receivers) {
    planCopy(receiver);
  }
  startCopies();
}

void ViewProvider::enqueue(const ViewRequest& request, Endpoint reply_to) {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool was_queued = queue_.contains(reply_to);
  std::vector<Endpoint> others = directory_.peersWithView(kReferralsPerRefusal);
  const bool may_queue = others.empty() || now - started_at_ < settings_.referral_startup_delay;
  const bool has_room = was_queued || queue_.size() < settings_.max_queued_requests;
  const bool is_queued = request.after == 0 && may_queue && has_room;
  if (is_queued) {
    queue_[reply_to] = {{request, reply_to}, now};
    counters_.queued += was_queued ? 0 : 1;
    others.clear();
  } else {
    queue_.erase(reply_to);
  }
  send_(reply_to, ViewRefusal{request.request, status(), is_queued, others});
}

void ViewProvider::answerWholeView(const ViewCopyQueue::Receiver& receiver) {
  const ViewRequest& request = receiver.request;
  if (const WholeBodyPtr body = copy_queue_.findBody(request, receiver.reply_to)) {
    continueCopy(receiver, *body);
    startCopies();
    return;
  }
  const auto referral = referrals_.find(receiver.reply_to);
  if (referral != referrals_.end() && referral->second.request == request.request) {
    refer(request, receiver.reply_to, referral->second.sender);
    return;
  }
  const bool was_waiting = copy_queue_.isWaiting(receiver.reply_to);
  if (was_waiting) {
    copy_queue_.enqueue(receiver);
  } else {
    planCopy(receiver);
  }
  startCopies();
  if (copy_queue_.isWaiting(receiver.reply_to)) {
    counters_.queued += was_waiting ? 0 : 1;
    send_(receiver.reply_to, ViewRefusal{request.request, status(), true, {}});
  }
}

void ViewProvider::planCopy(const ViewCopyQueue::Receiver& receiver) {
  const ViewRequest& request = receiver.request;
  copy_queue_.remove(receiver.reply_to);
  const Endpoint sender =
      plan_.assignSender({request.from, request.link}, wholeBody()->bytes.size());
  if (sender.isSet()) {
    if (referrals_.size() >= settings_.max_queued_requests) {
      referrals_.clear();
    }
    referrals_[receiver.reply_to] = {request.request, sender};
    refer(request, receiver.reply_to, sender);
  } else if (!copy_queue_.enqueue(receiver)) {
    refer(request, receiver.reply_to, Endpoint());
  }
}

void ViewProvider::startCopies() {
  while (backlog() <= settings_.max_backlog) {
    const auto receiver = copy_queue_.takeNext();
    if (!receiver) {
      break;
    }
    const WholeBodyPtr body = wholeBody();
    ++counters_.whole_views;
    referrals_.erase(receiver->reply_to);
    copy_queue_.start(*receiver, body);
    continueCopy(*receiver, *body);
  }
  if (copy_queue_.hasWaiting() && !std::exchange(retry_scheduled_, true)) {
    scheduler_.callAfter(settings_.copy_retry_interval, [this] {
      retry_scheduled_ = false;
      startCopies();
    });
  }
}

void ViewProvider::continueCopy(const ViewCopyQueue::Receiver& receiver, const WholeBody& body) {
  const ViewRequest& request = receiver.request;
  sendParts(request, statusOf(body), body.bytes, body.hash, receiver.reply_to);
  const bool is_same_body = request.body_hash == body.hash;
  const std::uint64_t end =
      std::uint64_t{is_same_body ? request.first_part : 0} + kMaxPartsPerRequest;
  copy_queue_.onRequested(receiver.reply_to,
                          end >= partCount(static_cast<std::uint32_t>(body.bytes.size())));
}

void ViewProvider::answerChanges(const ViewRequest& request, Endpoint reply_to) {
  const bool is_continuation = request.body_hash != 0;
  auto recent = owner_.view().changesAfter(request.after);
  if (!recent) {
    refuseChanges(request, reply_to);
    return;
  }
  const Bytes body =
      encodeViewBody({std::move(recent->changes), std::max(request.after, recent->at), false, {}});
  const bool is_large = partCount(static_cast<std::uint32_t>(body.size())) > 1;
  if (!is_continuation && is_large && backlog() > settings_.max_backlog) {
    refer(request, reply_to, nextRecentReceiver(request.from));
    return;
  }
  sendParts(request, status(), body, hashBody(body), reply_to);
  if (!is_continuation) {
    ++counters_.changes;
  }
  if (!is_continuation && is_large) {
    addRecentReceiver(request.from);
  }
}

void ViewProvider::refuseChanges(const ViewRequest& request, Endpoint reply_to) {
  ++counters_.history_unknown;
  ViewStatus no_view = status();
  no_view.serves_view = false;
  send_(reply_to, ViewRefusal{request.request, no_view, false, {}});
}

WholeBodyPtr ViewProvider::wholeBody() {
  if (has_adopted_) {
    return whole_body_;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  const bool is_valid = whole_body_ != nullptr && now - whole_body_->made_at <= settings_.body_ttl;
  if (!is_valid) {
    const ItemView& view = owner_.view();
    ViewBody content{{}, view.position(), true, directory_.peersToReport(kMaxPeersPerMessage)};
    for (Item& item : view.page("", ItemView::kNoLimit).items) {
      content.changes.push_back({std::move(item), false});
    }
    Bytes bytes = encodeViewBody(content);
    const std::uint64_t hash = hashBody(bytes);
    whole_body_ =
        std::make_shared<WholeBody>(WholeBody{std::move(bytes), hash, owner_.viewStatus(), now});
  }
  return whole_body_;
}

void ViewProvider::sendParts(const ViewRequest& request, const ViewStatus& body_status,
                             const Bytes& body, std::uint64_t hash, Endpoint reply_to) {
  const auto body_bytes = static_cast<std::uint32_t>(body.size());
  const bool is_same_body = request.body_hash == hash;
  const std::uint32_t first = is_same_body ? request.first_part : 0;
  const std::uint32_t mask = is_same_body ? request.parts : kAllParts;
  for (std::uint32_t offset = 0; offset < kMaxPartsPerRequest; ++offset) {
    const std::uint64_t part = std::uint64_t{first} + offset;
    if ((mask >> offset & 1U) == 0 || part >= partCount(body_bytes)) {
      continue;
    }
    const auto begin = body.begin() + static_cast<std::ptrdiff_t>(part * kPartBytes);
    const auto remaining = static_cast<std::size_t>(body.end() - begin);
    const auto end =
        begin + static_cast<std::ptrdiff_t>(std::min<std::size_t>(kPartBytes, remaining));
    send_(reply_to, ViewPart{request.request, body_status, hash, body_bytes,
                             static_cast<std::uint32_t>(part), Bytes(begin, end)});
    addToBacklog(static_cast<std::size_t>(end - begin));
  }
}

void ViewProvider::refer(const ViewRequest& request, Endpoint reply_to, Endpoint other) {
  ++counters_.referred;
  ViewRefusal refusal{request.request, status(), false, {}};
  if (other.isSet()) {
    refusal.alternatives.push_back(other);
  }
  send_(reply_to, refusal);
}

Endpoint ViewProvider::nextRecentReceiver(Endpoint requester) {
  expireRecentReceivers();
  for (std::size_t count = 0; count < recent_receivers_.size(); ++count) {
    const Endpoint balancer =
        recent_receivers_[next_recent_receiver_++ % recent_receivers_.size()].balancer;
    if (balancer != requester) {
      return balancer;
    }
  }
  return Endpoint();
}

Duration ViewProvider::backlog() const {
  return std::max(Duration::zero(), link_busy_until_ - time_source_.monotonicTime());
}

void ViewProvider::addToBacklog(std::size_t bytes) {
  counters_.bytes += bytes;
  const Duration send_duration(bytes * kMicrosecondsPerSecond / settings_.link_bytes_per_s);
  link_busy_until_ = std::max(link_busy_until_, time_source_.monotonicTime()) + send_duration;
}

void ViewProvider::addRecentReceiver(Endpoint balancer) {
  std::erase_if(recent_receivers_,
                [&](const RecentReceiver& receiver) { return receiver.balancer == balancer; });
  recent_receivers_.push_back({balancer, time_source_.monotonicTime()});
  if (recent_receivers_.size() > settings_.max_recent_receivers) {
    recent_receivers_.pop_front();
  }
}

void ViewProvider::expireRecentReceivers() {
  const MonotonicTime now = time_source_.monotonicTime();
  while (!recent_receivers_.empty() &&
         now - recent_receivers_.front().received_at > settings_.recent_receiver_ttl) {
    recent_receivers_.pop_front();
  }
}

}  // namespace lugfork
