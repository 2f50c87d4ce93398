#include "discovery/view_provider.h"

#include <algorithm>
#include <utility>

namespace lugfork {

namespace {

constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
/** Balancers with a view to which those that wait for this one's are sent. */
constexpr std::size_t kReferralsInQueue = 2;

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
      copies_(settings.copies, settings.link_bytes_per_s, time_source) {}

void ViewProvider::onRequest(const ViewRequest& request, Endpoint reply_to) {
  directory_.onShown({request.from, request.link});
  const bool shows_view = request.after != 0;
  if (shows_view) {
    directory_.onShowsView(request.from);
  }
  // An adopted view has no history: changes can only be told of the own one.
  const bool can_answer = shows_view ? owner_.viewStatus().serves_view : status().serves_view;
  if (!can_answer) {
    enqueue(request, reply_to);
    return;
  }
  if (shows_view) {
    answerChanges(request, reply_to);
  } else {
    answerWholeView({request, reply_to});
  }
}

void ViewProvider::onPeersRequest(const PeersRequest& request, Endpoint reply_to) {
  send_(reply_to, PeersReply{request.request, directory_.toTell(kMaxPeersPerMessage)});
  directory_.onShown(request.from);
}

void ViewProvider::onViewReady() {
  if (std::exchange(has_adopted_, false)) {
    // Copies of the adopted view go on; who asks from now on gets the own one.
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
  std::vector<ViewCopies::Receiver> receivers;
  for (const auto& [reply_to, queued] : std::exchange(queue_, {})) {
    if (now - queued.asked_at <= settings_.queue_lifetime) {
      receivers.push_back(queued.receiver);
    }
  }
  // Strong links first: they carry the copies of the others.
  std::sort(receivers.begin(), receivers.end(), [](const auto& left, const auto& right) {
    const bool is_alike = left.request.link == right.request.link;
    return is_alike ? left.reply_to < right.reply_to : left.request.link > right.request.link;
  });
  for (const ViewCopies::Receiver& receiver : receivers) {
    planCopy(receiver);
  }
  beginCopies();
}

void ViewProvider::enqueue(const ViewRequest& request, Endpoint reply_to) {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool was_queued = queue_.contains(reply_to);
  std::vector<Endpoint> others = directory_.withView(kReferralsInQueue);
  const bool may_wait = others.empty() || now - started_at_ < settings_.hold_at_start;
  const bool has_room = was_queued || queue_.size() < settings_.max_queued;
  const bool is_queued = request.after == 0 && may_wait && has_room;
  if (is_queued) {
    queue_[reply_to] = {{request, reply_to}, now};
    counters_.queued += was_queued ? 0 : 1;
    others.clear();
  } else {
    queue_.erase(reply_to);
  }
  send_(reply_to, ViewRefusal{request.request, status(), is_queued, others});
}

void ViewProvider::answerWholeView(const ViewCopies::Receiver& receiver) {
  const ViewRequest& request = receiver.request;
  if (const WholeBodyPtr body = copies_.find(request, receiver.reply_to)) {
    continueCopy(receiver, *body);
    beginCopies();
    return;
  }
  const auto referred = referred_.find(receiver.reply_to);
  if (referred != referred_.end() && referred->second.request == request.request) {
    refer(request, receiver.reply_to, referred->second.sender);
    return;
  }
  const bool was_waiting = copies_.isWaiting(receiver.reply_to);
  if (was_waiting) {
    copies_.wait(receiver);
  } else {
    planCopy(receiver);
  }
  beginCopies();
  if (copies_.isWaiting(receiver.reply_to)) {
    counters_.queued += was_waiting ? 0 : 1;
    send_(receiver.reply_to, ViewRefusal{request.request, status(), true, {}});
  }
}

void ViewProvider::planCopy(const ViewCopies::Receiver& receiver) {
  const ViewRequest& request = receiver.request;
  copies_.forget(receiver.reply_to);
  const Endpoint sender = plan_.choose({request.from, request.link}, wholeBody()->bytes.size());
  if (sender.isSet()) {
    if (referred_.size() >= settings_.max_queued) {
      referred_.clear();
    }
    referred_[receiver.reply_to] = {request.request, sender};
    refer(request, receiver.reply_to, sender);
  } else if (!copies_.wait(receiver)) {
    refer(request, receiver.reply_to, Endpoint());
  }
}

void ViewProvider::beginCopies() {
  while (backlog() <= settings_.max_backlog) {
    const auto receiver = copies_.next();
    if (!receiver) {
      break;
    }
    const WholeBodyPtr body = wholeBody();
    ++counters_.whole_views;
    referred_.erase(receiver->reply_to);
    copies_.begin(*receiver, body);
    continueCopy(*receiver, *body);
  }
  if (copies_.hasWaiting() && !std::exchange(begins_later_, true)) {
    scheduler_.callAfter(settings_.begin_interval, [this] {
      begins_later_ = false;
      beginCopies();
    });
  }
}

void ViewProvider::continueCopy(const ViewCopies::Receiver& receiver, const WholeBody& body) {
  const ViewRequest& request = receiver.request;
  sendParts(request, statusOf(body), body.bytes, body.hash, receiver.reply_to);
  const bool is_same_body = request.body_hash == body.hash;
  const std::uint64_t end =
      std::uint64_t{is_same_body ? request.first_part : 0} + kMaxPartsPerRequest;
  copies_.onAsked(receiver.reply_to,
                  end >= partCount(static_cast<std::uint32_t>(body.bytes.size())));
}

void ViewProvider::answerChanges(const ViewRequest& request, Endpoint reply_to) {
  const bool continues = request.body_hash != 0;
  auto known = owner_.view().changesAfter(request.after);
  if (!known) {
    refuseChanges(request, reply_to);
    return;
  }
  const Bytes body =
      encodeViewBody({std::move(known->changes), std::max(request.after, known->at), false, {}});
  const bool is_large = partCount(static_cast<std::uint32_t>(body.size())) > 1;
  if (!continues && is_large && backlog() > settings_.max_backlog) {
    refer(request, reply_to, nextReferral(request.from));
    return;
  }
  sendParts(request, status(), body, hashBody(body), reply_to);
  if (!continues) {
    ++counters_.changes;
  }
  if (!continues && is_large) {
    addReferral(request.from);
  }
}

void ViewProvider::refuseChanges(const ViewRequest& request, Endpoint reply_to) {
  ++counters_.history_unknown;
  ViewStatus nothing = status();
  nothing.serves_view = false;
  send_(reply_to, ViewRefusal{request.request, nothing, false, {}});
}

WholeBodyPtr ViewProvider::wholeBody() {
  if (has_adopted_) {
    return whole_body_;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  const bool is_usable =
      whole_body_ != nullptr && now - whole_body_->made_at <= settings_.body_lifetime;
  if (!is_usable) {
    const ItemView& view = owner_.view();
    ViewBody content{{}, view.position(), true, directory_.toTell(kMaxPeersPerMessage)};
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
    const auto left = static_cast<std::size_t>(body.end() - begin);
    const auto end = begin + static_cast<std::ptrdiff_t>(std::min<std::size_t>(kPartBytes, left));
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

Endpoint ViewProvider::nextReferral(Endpoint asking) {
  forgetReferrals();
  for (std::size_t count = 0; count < referrals_.size(); ++count) {
    const Endpoint balancer = referrals_[next_referral_++ % referrals_.size()].balancer;
    if (balancer != asking) {
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
  const Duration sending(bytes * kMicrosecondsPerSecond / settings_.link_bytes_per_s);
  link_busy_until_ = std::max(link_busy_until_, time_source_.monotonicTime()) + sending;
}

void ViewProvider::addReferral(Endpoint balancer) {
  std::erase_if(referrals_, [&](const Referral& known) { return known.balancer == balancer; });
  referrals_.push_back({balancer, time_source_.monotonicTime()});
  if (referrals_.size() > settings_.max_referrals) {
    referrals_.pop_front();
  }
}

void ViewProvider::forgetReferrals() {
  const MonotonicTime now = time_source_.monotonicTime();
  while (!referrals_.empty() && now - referrals_.front().since > settings_.referral_lifetime) {
    referrals_.pop_front();
  }
}

}  // namespace lugfork
