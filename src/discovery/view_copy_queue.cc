#include "discovery/view_copy_queue.h"

#include <algorithm>

namespace lugfork {

ViewCopyQueue::ViewCopyQueue(ViewCopyQueueSettings settings, std::uint64_t own_bytes_per_s,
                             const TimeSource& time_source)
    : settings_(settings), own_bytes_per_s_(own_bytes_per_s), time_source_(time_source) {}

bool ViewCopyQueue::enqueue(const Receiver& receiver) {
  const auto existing = waiting_.find(receiver.reply_to);
  if (existing != waiting_.end()) {
    existing->second.receiver = receiver;
    existing->second.requested_at = time_source_.monotonicTime();
    return true;
  }
  if (waiting_.size() >= settings_.max_waiting) {
    return false;
  }
  waiting_[receiver.reply_to] = {receiver, next_arrival_++, time_source_.monotonicTime()};
  return true;
}

std::optional<ViewCopyQueue::Receiver> ViewCopyQueue::takeNext() {
  expire();
  if (waiting_.empty() || !hasCapacity()) {
    return std::nullopt;
  }
  const auto comes_before = [](const auto& left, const auto& right) {
    const LinkClass left_link = left.second.receiver.request.link;
    const LinkClass right_link = right.second.receiver.request.link;
    return left_link == right_link ? left.second.arrival < right.second.arrival
                                   : left_link > right_link;
  };
  const auto first = std::min_element(waiting_.begin(), waiting_.end(), comes_before);
  Receiver receiver = first->second.receiver;
  waiting_.erase(first);
  return receiver;
}

std::uint64_t ViewCopyQueue::rateOf(const Receiver& receiver) const {
  return std::min(own_bytes_per_s_, bytesPerSecondOf(receiver.request.link));
}

bool ViewCopyQueue::hasCapacity() const {
  const MonotonicTime now = time_source_.monotonicTime();
  double used = 0;
  for (const auto& [receiver, copy] : copies_) {
    const bool is_active = !copy.is_ending && now - copy.requested_at <= settings_.idle_timeout;
    used += is_active ? static_cast<double>(copy.bytes_per_s) : 0;
  }
  const double limit = settings_.overcommit * static_cast<double>(own_bytes_per_s_);
  return used < limit;
}

void ViewCopyQueue::start(const Receiver& receiver, WholeBodyPtr body) {
  copies_[receiver.reply_to] = {receiver.request.request, std::move(body), rateOf(receiver),
                                time_source_.monotonicTime(), false};
}

WholeBodyPtr ViewCopyQueue::findBody(const ViewRequest& request, Endpoint reply_to) const {
  const auto copy = copies_.find(reply_to);
  const bool is_current = copy != copies_.end() && copy->second.request == request.request;
  return is_current ? copy->second.body : nullptr;
}

void ViewCopyQueue::onRequested(Endpoint reply_to, bool is_last) {
  Copy& copy = copies_.at(reply_to);
  copy.requested_at = time_source_.monotonicTime();
  copy.is_ending = copy.is_ending || is_last;
}

void ViewCopyQueue::remove(Endpoint reply_to) {
  copies_.erase(reply_to);
  waiting_.erase(reply_to);
}

void ViewCopyQueue::expire() {
  const MonotonicTime now = time_source_.monotonicTime();
  const auto is_expired = [&](const auto& entry) {
    return now - entry.second.requested_at > settings_.ttl;
  };
  std::erase_if(copies_, is_expired);
  std::erase_if(waiting_, is_expired);
}

}  // namespace lugfork
