#include "discovery/view_spread_plan.h"

#include <algorithm>

namespace lugfork {

namespace {

constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::uint64_t kBytesPerMegabit = 125'000;
constexpr LinkClass kMaxLinkClass = 30;

Duration sendingTime(std::size_t bytes, std::uint64_t bytes_per_s) {
  return Duration(static_cast<std::int64_t>(bytes * kMicrosecondsPerSecond / bytes_per_s));
}

/** @return duration of a copy to one receiver, which waits a round trip for each window. */
Duration copyTime(std::size_t bytes, std::uint64_t bytes_per_s) {
  return sendingTime(bytes, bytes_per_s) * 5 / 4;
}

}  // namespace

std::uint64_t bytesPerSecondOf(LinkClass link) {
  // A class spans from one power of two to the next; the result is near its middle.
  const std::uint64_t min_bytes_per_s = kBytesPerMegabit << std::min(link, kMaxLinkClass);
  return min_bytes_per_s + min_bytes_per_s * 2 / 5;
}

ViewSpreadPlan::ViewSpreadPlan(ViewSpreadSettings settings, std::uint64_t local_bytes_per_s,
                               const TimeSource& time_source)
    : settings_(settings),
      local_bytes_per_s_(copyRateOf(local_bytes_per_s)),
      time_source_(time_source) {}

std::uint64_t ViewSpreadPlan::copyRateOf(std::uint64_t bytes_per_s) const {
  return static_cast<std::uint64_t>(settings_.link_fraction * static_cast<double>(bytes_per_s));
}

Endpoint ViewSpreadPlan::assignSender(const PeerInfo& receiver, std::size_t copy_bytes) {
  expireSenders();
  const bool is_repeated = senders_.contains(receiver.address);
  if (is_repeated) {
    remove(senders_.at(receiver.address).served_by);
    remove(receiver.address);
  }
  const Choice local =
      choiceOf(Endpoint(), local_free_at_, local_bytes_per_s_, receiver, copy_bytes);
  const Choice choice = is_repeated ? local : std::min(local, bestPeer(receiver, copy_bytes));
  reserveLink(choice.sender, copy_bytes);
  add(receiver.address, {receiver.link, choice.finish + settings_.relay_delay, choice.sender});
  by_insertion_.emplace_back(time_source_.monotonicTime(), receiver.address);
  return choice.sender;
}

ViewSpreadPlan::Choice ViewSpreadPlan::choiceOf(Endpoint sender, MonotonicTime free_at,
                                                std::uint64_t bytes_per_s, const PeerInfo& receiver,
                                                std::size_t copy_bytes) const {
  const std::uint64_t rate = std::min(bytes_per_s, bytesPerSecondOf(receiver.link));
  const MonotonicTime begin = std::max(time_source_.monotonicTime(), free_at);
  return {begin + copyTime(copy_bytes, rate), sender};
}

ViewSpreadPlan::Choice ViewSpreadPlan::bestPeer(const PeerInfo& receiver,
                                                std::size_t copy_bytes) const {
  Choice best{MonotonicTime::max(), Endpoint()};
  for (const auto& [link, senders] : senders_by_link_) {
    const auto& [free_at, balancer] = *senders.begin();
    best = std::min(best, choiceOf(balancer, free_at, copyRateOf(bytesPerSecondOf(link)), receiver,
                                   copy_bytes));
  }
  return best;
}

void ViewSpreadPlan::reserveLink(Endpoint balancer, std::size_t copy_bytes) {
  const MonotonicTime now = time_source_.monotonicTime();
  if (!balancer.isSet()) {
    local_free_at_ = std::max(now, local_free_at_) + sendingTime(copy_bytes, local_bytes_per_s_);
    return;
  }
  Sender sender = senders_.at(balancer);
  sender.free_at = std::max(now, sender.free_at) +
                   sendingTime(copy_bytes, copyRateOf(bytesPerSecondOf(sender.link)));
  remove(balancer);
  add(balancer, sender);
}

void ViewSpreadPlan::add(Endpoint balancer, const Sender& sender) {
  senders_[balancer] = sender;
  senders_by_link_[sender.link].insert({sender.free_at, balancer});
}

void ViewSpreadPlan::remove(Endpoint balancer) {
  const auto node = senders_.extract(balancer);
  if (node.empty()) {
    return;
  }
  const Sender& sender = node.mapped();
  const auto senders_of_class = senders_by_link_.find(sender.link);
  senders_of_class->second.erase({sender.free_at, balancer});
  if (senders_of_class->second.empty()) {
    senders_by_link_.erase(senders_of_class);
  }
}

void ViewSpreadPlan::expireSenders() {
  const MonotonicTime now = time_source_.monotonicTime();
  while (!by_insertion_.empty() && now - by_insertion_.front().first > settings_.sender_ttl) {
    remove(by_insertion_.front().second);
    by_insertion_.pop_front();
  }
}

}  // namespace lugfork
