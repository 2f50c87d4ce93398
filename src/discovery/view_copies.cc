#include "discovery/view_copies.h"

#include <algorithm>

namespace lugfork {

ViewCopies::ViewCopies(ViewCopiesSettings settings, std::uint64_t own_bytes_per_s,
                       const TimeSource& time_source)
    : settings_(settings), own_bytes_per_s_(own_bytes_per_s), time_source_(time_source) {}

bool ViewCopies::wait(const Receiver& receiver) {
  const auto known = waiting_.find(receiver.reply_to);
  if (known != waiting_.end()) {
    known->second.receiver = receiver;
    known->second.asked_at = time_source_.monotonicTime();
    return true;
  }
  if (waiting_.size() >= settings_.max_waiting) {
    return false;
  }
  waiting_[receiver.reply_to] = {receiver, arrivals_++, time_source_.monotonicTime()};
  return true;
}

std::optional<ViewCopies::Receiver> ViewCopies::next() {
  forgetOld();
  if (waiting_.empty() || !hasRoom()) {
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

std::uint64_t ViewCopies::rateOf(const Receiver& receiver) const {
  return std::min(own_bytes_per_s_, bytesPerSecondOf(receiver.request.link));
}

bool ViewCopies::hasRoom() const {
  const MonotonicTime now = time_source_.monotonicTime();
  double used = 0;
  for (const auto& [receiver, copy] : copies_) {
    const bool counts = !copy.is_ending && now - copy.asked_at <= settings_.idle_after;
    used += counts ? static_cast<double>(copy.bytes_per_s) : 0;
  }
  const double limit = settings_.overcommit * static_cast<double>(own_bytes_per_s_);
  return used < limit;
}

void ViewCopies::begin(const Receiver& receiver, WholeBodyPtr body) {
  copies_[receiver.reply_to] = {receiver.request.request, std::move(body), rateOf(receiver),
                                time_source_.monotonicTime(), false};
}

WholeBodyPtr ViewCopies::find(const ViewRequest& request, Endpoint reply_to) const {
  const auto copy = copies_.find(reply_to);
  const bool is_known = copy != copies_.end() && copy->second.request == request.request;
  return is_known ? copy->second.body : nullptr;
}

void ViewCopies::onAsked(Endpoint reply_to, bool is_last) {
  Copy& copy = copies_.at(reply_to);
  copy.asked_at = time_source_.monotonicTime();
  copy.is_ending = copy.is_ending || is_last;
}

void ViewCopies::forget(Endpoint reply_to) {
  copies_.erase(reply_to);
  waiting_.erase(reply_to);
}

void ViewCopies::forgetOld() {
  const MonotonicTime now = time_source_.monotonicTime();
  const auto is_old = [&](const auto& entry) {
    return now - entry.second.asked_at > settings_.lifetime;
  };
  std::erase_if(copies_, is_old);
  std::erase_if(waiting_, is_old);
}

}  // namespace lugfork
