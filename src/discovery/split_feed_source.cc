#include "discovery/split_feed_source.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace lugfork {

namespace {

/** Wait of a session's first watch, which returns earlier changes. */
constexpr Duration kCatchUpWait = milliseconds(1);

}  // namespace

SplitFeedSource::SplitFeedSource(SplitFeedSettings settings, ItemSource& full_read_source,
                                 ItemSource& feed_source, Scheduler& scheduler,
                                 const TimeSource& time_source)
    : settings_(std::move(settings)),
      full_read_source_(full_read_source),
      feed_source_(feed_source),
      scheduler_(scheduler),
      time_source_(time_source) {}

void SplitFeedSource::readPage(const PageRequest& request, PageCallback callback) {
  endSession();
  full_read_source_.readPage(request, std::move(callback));
}

void SplitFeedSource::watch(const WatchRequest& request, WatchCallback callback) {
  callback_ = std::move(callback);
  request_ = request;
  const bool is_expired = time_source_.monotonicTime() - delivered_at_ > settings_.session_ttl;
  if (!has_session_ || (is_expired && !has_answer_)) {
    startSession(request.after);
  }
  endpoints_.position = std::max(endpoints_.position, request.after);
  documents_.position = std::max(documents_.position, request.after);
  startCalls();
  if (has_answer_) {
    // Deferred, because callbacks must not run within the call that they answer.
    scheduler_.callAfter(Duration::zero(), [this] { deliver(); });
  }
}

void SplitFeedSource::startSession(Revision after) {
  endSession();
  has_session_ = true;
  endpoints_.position = after;
  documents_.position = after;
}

void SplitFeedSource::endSession() {
  ++session_;
  has_session_ = false;
  has_answer_ = false;
  reads_documents_ = settings_.read_documents_separately;
  pending_changes_.clear();
  endpoints_ = Feed();
  documents_ = Feed();
}

void SplitFeedSource::startCalls() {
  startCall(endpoints_);
  // One call suffices to detect that the store does not answer.
  if (endpoints_.has_answered && reads_documents_) {
    startCall(documents_);
  }
}

void SplitFeedSource::startCall(Feed& feed) {
  if (!has_session_ || feed.in_flight) {
    return;
  }
  const Duration remaining = feed.next_call_at - time_source_.monotonicTime();
  if (remaining > Duration::zero()) {
    scheduler_.callAfter(remaining, [this, session = session_] {
      if (session == session_ && callback_) {
        startCalls();
      }
    });
    return;
  }
  feed.in_flight = true;
  if (&feed == &documents_) {
    readDocuments();
  } else {
    watchChanges();
  }
}

void SplitFeedSource::watchChanges() {
  ++counters_.watches;
  WatchRequest request = request_;
  request.after = endpoints_.position;
  if (reads_documents_) {
    request.prefix = settings_.endpoints_prefix;
  } else {
    request.after = std::min(endpoints_.position, documents_.position);
  }
  if (!endpoints_.has_answered) {
    request.wait = std::min(request.wait, kCatchUpWait);
  }
  const bool covers_documents = !reads_documents_;
  feed_source_.watch(request, [this, covers_documents,
                               session = session_](const Result<ItemChanges, SourceError>& answer) {
    if (session != session_) {
      return;
    }
    if (!answer) {
      onError(answer.error());
      return;
    }
    onChanges(answer.value(), covers_documents);
  });
}

void SplitFeedSource::readDocuments() {
  ++counters_.document_reads;
  feed_source_.readPage({settings_.documents_prefix, "", ReadConsistency::Latest},
                        [this, session = session_](const Result<ItemPage, SourceError>& answer) {
                          if (session != session_) {
                            return;
                          }
                          if (!answer) {
                            onError(answer.error());
                            return;
                          }
                          onDocuments(answer.value());
                        });
}

void SplitFeedSource::onChanges(ItemChanges changes, bool covers_documents) {
  const bool has_changes = !changes.changes.empty();
  if (covers_documents) {
    documents_.position = std::max(documents_.position, changes.at);
    documents_.has_answered = true;
    reads_documents_ =
        settings_.read_documents_separately &&
        std::any_of(changes.changes.begin(), changes.changes.end(),
                    [this](const ItemChange& change) { return isDocument(change.item.key); });
    documents_.next_call_at = time_source_.monotonicTime() + settings_.cooldown;
  }
  pending_changes_.insert(pending_changes_.end(), std::make_move_iterator(changes.changes.begin()),
                          std::make_move_iterator(changes.changes.end()));
  onAnswered(endpoints_, changes.at, has_changes);
}

void SplitFeedSource::onDocuments(const ItemPage& page) {
  std::unordered_set<std::string> page_keys;
  bool has_changes = false;
  for (const Item& item : page.items) {
    page_keys.insert(item.key);
    has_changes = has_changes || item.revision > documents_.position;
    pending_changes_.push_back({item, false});
  }
  const auto user_keys =
      list_user_keys_ ? list_user_keys_(settings_.documents_prefix) : std::vector<std::string>();
  for (const std::string& key : user_keys) {
    if (!page.more && !page_keys.contains(key)) {
      pending_changes_.push_back({{key, "", page.at, 0}, true});
      has_changes = true;
    }
  }
  reads_documents_ = has_changes || page.more;
  onAnswered(documents_, page.more ? documents_.position : page.at, has_changes);
}

void SplitFeedSource::onAnswered(Feed& feed, Revision at, bool has_changes) {
  feed.in_flight = false;
  feed.has_answered = true;
  feed.position = std::max(feed.position, at);
  feed.answered_at = time_source_.monotonicTime();
  feed.next_call_at = feed.answered_at + (has_changes ? settings_.cooldown : Duration::zero());
  if (endpoints_.has_answered && documents_.has_answered) {
    has_answer_ = true;
    deliver();
  } else if (callback_) {
    startCall(documents_);
  }
}

void SplitFeedSource::onError(SourceError error) {
  endSession();
  delivered_at_ = time_source_.monotonicTime();
  if (callback_) {
    std::exchange(callback_, nullptr)(error);
  }
}

void SplitFeedSource::deliver() {
  if (!callback_ || !has_answer_) {
    return;
  }
  has_answer_ = false;
  const MonotonicTime now = time_source_.monotonicTime();
  delivered_at_ = now;
  ItemChanges changes;
  changes.changes = std::exchange(pending_changes_, {});
  changes.at = std::min(endpoints_.position, documents_.position);
  changes.age_ms = toWireMilliseconds(now - endpoints_.answered_at);
  std::exchange(callback_, nullptr)(std::move(changes));
}

}  // namespace lugfork
