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

/** @return how long a copy takes to one receiver, whose windows wait for a round trip each. */
Duration copyTime(std::size_t bytes, std::uint64_t bytes_per_s) {
  return sendingTime(bytes, bytes_per_s) * 5 / 4;
}

}  // namespace

std::uint64_t bytesPerSecondOf(LinkClass link) {
  // The middle of the class, which reaches from one power of two to the next.
  const std::uint64_t least = kBytesPerMegabit << std::min(link, kMaxLinkClass);
  return least + least * 2 / 5;
}

ViewSpreadPlan::ViewSpreadPlan(ViewSpreadSettings settings, std::uint64_t own_bytes_per_s,
                               const TimeSource& time_source)
    : settings_(settings), own_bytes_per_s_(shareOf(own_bytes_per_s)), time_source_(time_source) {}

std::uint64_t ViewSpreadPlan::shareOf(std::uint64_t bytes_per_s) const {
  return static_cast<std::uint64_t>(settings_.link_share * static_cast<double>(bytes_per_s));
}

Endpoint ViewSpreadPlan::choose(const PeerInfo& receiver, std::size_t copy_bytes) {
  forgetOld();
  const bool comes_again = senders_.contains(receiver.address);
  if (comes_again) {
    remove(senders_.at(receiver.address).served_by);
    remove(receiver.address);
  }
  const Choice own = choiceOf(Endpoint(), own_free_at_, own_bytes_per_s_, receiver, copy_bytes);
  const Choice choice = comes_again ? own : std::min(own, bestOther(receiver, copy_bytes));
  occupy(choice.sender, copy_bytes);
  add(receiver.address, {receiver.link, choice.finish + settings_.hop, choice.sender});
  by_age_.emplace_back(time_source_.monotonicTime(), receiver.address);
  return choice.sender;
}

ViewSpreadPlan::Choice ViewSpreadPlan::choiceOf(Endpoint sender, MonotonicTime free_at,
                                                std::uint64_t bytes_per_s, const PeerInfo& receiver,
                                                std::size_t copy_bytes) const {
  const std::uint64_t rate = std::min(bytes_per_s, bytesPerSecondOf(receiver.link));
  const MonotonicTime begin = std::max(time_source_.monotonicTime(), free_at);
  return {begin + copyTime(copy_bytes, rate), sender};
}

ViewSpreadPlan::Choice ViewSpreadPlan::bestOther(const PeerInfo& receiver,
                                                 std::size_t copy_bytes) const {
  Choice best{MonotonicTime::max(), Endpoint()};
  for (const auto& [link, senders] : free_senders_) {
    const auto& [free_at, balancer] = *senders.begin();
    best = std::min(
        best, choiceOf(balancer, free_at, shareOf(bytesPerSecondOf(link)), receiver, copy_bytes));
  }
  return best;
}

void ViewSpreadPlan::occupy(Endpoint balancer, std::size_t copy_bytes) {
  const MonotonicTime now = time_source_.monotonicTime();
  if (!balancer.isSet()) {
    own_free_at_ = std::max(now, own_free_at_) + sendingTime(copy_bytes, own_bytes_per_s_);
    return;
  }
  Sender sender = senders_.at(balancer);
  sender.free_at = std::max(now, sender.free_at) +
                   sendingTime(copy_bytes, shareOf(bytesPerSecondOf(sender.link)));
  remove(balancer);
  add(balancer, sender);
}

void ViewSpreadPlan::add(Endpoint balancer, const Sender& sender) {
  senders_[balancer] = sender;
  free_senders_[sender.link].insert({sender.free_at, balancer});
}

void ViewSpreadPlan::remove(Endpoint balancer) {
  const auto known = senders_.extract(balancer);
  if (known.empty()) {
    return;
  }
  const Sender& sender = known.mapped();
  const auto of_link = free_senders_.find(sender.link);
  of_link->second.erase({sender.free_at, balancer});
  if (of_link->second.empty()) {
    free_senders_.erase(of_link);
  }
}

void ViewSpreadPlan::forgetOld() {
  const MonotonicTime now = time_source_.monotonicTime();
  while (!by_age_.empty() && now - by_age_.front().first > settings_.sender_lifetime) {
    remove(by_age_.front().second);
    by_age_.pop_front();
  }
}

}  // namespace lugfork
