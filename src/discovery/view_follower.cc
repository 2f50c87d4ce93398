#include "discovery/view_follower.h"

#include <algorithm>
#include <utility>

namespace lugfork {

namespace {

/** Wait of the watch right after a full read, which returns the changes made since. */
constexpr Duration kCatchUpWait = milliseconds(1);
constexpr std::uint32_t kMaxDoublings = 10;

}  // namespace

ViewFollower::ViewFollower(std::string prefix, ViewFollowerSettings settings, ItemSource& source,
                           Scheduler& scheduler, const TimeSource& time_source,
                           RandomGenerator& random, ViewFollowerHost& host)
    : prefix_(std::move(prefix)),
      settings_(settings),
      source_(source),
      scheduler_(scheduler),
      time_source_(time_source),
      random_(random),
      host_(host) {}

void ViewFollower::start() {
  failing_since_ = time_source_.monotonicTime();
  startFullRead(settings_.first_read_consistency);
}

bool ViewFollower::isFresh() const {
  return caught_up_ && age() <= settings_.watch_wait + settings_.max_answer_age;
}

Duration ViewFollower::timeUntilSettled() const {
  const Duration since_recovery = time_source_.monotonicTime() - recovered_at_;
  return std::max(Duration::zero(), settings_.settle_window - since_recovery);
}

void ViewFollower::startFullRead(ReadConsistency consistency) {
  ++counters_.full_reads;
  consistency_ = consistency;
  page_after_key_.clear();
  view_.startFullRead();
  readNextPage();
}

void ViewFollower::readNextPage() {
  ++counters_.pages;
  source_.readPage({prefix_, page_after_key_, consistency_},
                   [this](Result<ItemPage, SourceError> answer) { onPage(std::move(answer)); });
}

void ViewFollower::onPage(Result<ItemPage, SourceError> answer) {
  if (!answer) {
    onError(answer.error());
    retry([this] { readNextPage(); });
    return;
  }
  ItemPage& page = answer.value();
  const bool is_whole_view = page.is_whole_view;
  counters_.items_unreadable += page.unreadable;
  onAnswer(milliseconds(page.age_ms));
  if (is_whole_view) {
    view_.startFullRead();
  }
  const bool has_more = page.more && !page.items.empty();
  if (has_more) {
    page_after_key_ = page.items.back().key;
  }
  reportItems(view_.applyPage(std::move(page)));
  if (has_more) {
    readNextPage();
    return;
  }
  finishFullRead(is_whole_view);
}

void ViewFollower::finishFullRead(bool is_whole_view) {
  reportItems(view_.finishFullRead());
  watch_after_ = view_.fullReadRevision();
  view_.setPosition(watch_after_);
  if (!complete_) {
    // A lagging replica may have answered; serving from its data is better than waiting.
    complete_ = true;
    host_.onComplete(is_whole_view ? ViewOrigin::Balancer : ViewOrigin::Store);
  }
  if (is_whole_view) {
    setCaughtUp();
  }
  startWatch(is_whole_view ? settings_.watch_wait : kCatchUpWait);
}

void ViewFollower::setCaughtUp() {
  if (!std::exchange(caught_up_, true)) {
    host_.onCaughtUp();
  }
}

void ViewFollower::startWatch(Duration wait) {
  ++counters_.watches;
  source_.watch({prefix_, watch_after_, wait},
                [this](const Result<ItemChanges, SourceError>& answer) { onChanges(answer); });
}

void ViewFollower::onChanges(const Result<ItemChanges, SourceError>& answer) {
  if (!answer && answer.error() == SourceError::HistoryGone) {
    ++counters_.errors[static_cast<std::size_t>(SourceError::HistoryGone)];
    startFullRead(ReadConsistency::Latest);
    return;
  }
  if (!answer) {
    onError(answer.error());
    retry([this] { startWatch(caught_up_ ? settings_.watch_wait : kCatchUpWait); });
    return;
  }
  const ItemChanges& changes = answer.value();
  counters_.items_unreadable += changes.unreadable;
  onAnswer(milliseconds(changes.age_ms));
  watch_after_ = std::max(watch_after_, changes.at);
  view_.setPosition(watch_after_);
  std::vector<ItemChange> newer;
  for (const ItemChange& change : changes.changes) {
    if (view_.apply(change)) {
      newer.push_back(change);
    }
  }
  reportItems(newer);
  setCaughtUp();
  scheduler_.callAfter(Duration::zero(), [this] { startWatch(settings_.watch_wait); });
}

void ViewFollower::onAnswer(Duration answer_age) {
  const MonotonicTime now = time_source_.monotonicTime();
  const MonotonicTime confirmed_at = now - answer_age;
  if (confirmed_at - answered_at_ > settings_.outage_threshold) {
    recovered_at_ = now;
  }
  answered_at_ = std::max(answered_at_, confirmed_at);
  if (consecutive_failures_ > 0) {
    consecutive_failures_ = 0;
    host_.onSourceRecovered(now - failing_since_);
  }
}

void ViewFollower::onError(SourceError error) {
  ++counters_.errors[static_cast<std::size_t>(error)];
  if (consecutive_failures_ == 0) {
    failing_since_ = time_source_.monotonicTime();
  }
  const bool is_new = consecutive_failures_ == 0 || error != last_error_;
  ++consecutive_failures_;
  last_error_ = error;
  if (is_new) {
    host_.onSourceLost(error);
  }
}

void ViewFollower::retry(std::function<void()> function) {
  const std::uint32_t doublings = std::min(consecutive_failures_ - 1, kMaxDoublings);
  const Duration delay =
      std::min(settings_.max_retry_delay, settings_.min_retry_delay * (1U << doublings));
  const double jitter = 0.5 + 0.5 * random_.unit();
  scheduler_.callAfter(
      Duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) * jitter)),
      std::move(function));
}

void ViewFollower::reportItems(const std::vector<ItemChange>& changes) {
  if (!changes.empty()) {
    host_.onItems(changes);
  }
}

}  // namespace lugfork
