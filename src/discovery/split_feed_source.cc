#include "discovery/split_feed_source.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace lugfork {

namespace {

/** Wait of a session's first watch, which shows what has changed before. */
constexpr Duration kCatchUpWait = milliseconds(1);

}  // namespace

SplitFeedSource::SplitFeedSource(SplitFeedSettings settings, ItemSource& source, ItemSource& feeds,
                                 Scheduler& scheduler, const TimeSource& time_source)
    : settings_(std::move(settings)),
      source_(source),
      feeds_(feeds),
      scheduler_(scheduler),
      time_source_(time_source) {}

void SplitFeedSource::readPage(const PageRequest& request, PageCallback callback) {
  endSession();
  source_.readPage(request, std::move(callback));
}

void SplitFeedSource::watch(const WatchRequest& request, WatchCallback callback) {
  callback_ = std::move(callback);
  request_ = request;
  const bool is_old = time_source_.monotonicTime() - delivered_at_ > settings_.session_gap;
  if (!in_session_ || (is_old && !has_answer_)) {
    startSession(request.after);
  }
  endpoints_.position = std::max(endpoints_.position, request.after);
  documents_.position = std::max(documents_.position, request.after);
  askFeeds();
  if (has_answer_) {
    // Never at once: the caller may still be inside its call.
    scheduler_.callAfter(Duration::zero(), [this] { deliver(); });
  }
}

void SplitFeedSource::startSession(Revision after) {
  endSession();
  in_session_ = true;
  endpoints_.position = after;
  documents_.position = after;
}

void SplitFeedSource::endSession() {
  ++session_;
  in_session_ = false;
  has_answer_ = false;
  documents_move_ = settings_.splits;
  gathered_.clear();
  endpoints_ = Feed();
  documents_ = Feed();
}

void SplitFeedSource::askFeeds() {
  ask(endpoints_);
  // A store that does not answer costs one call, not two.
  if (endpoints_.has_answered && documents_move_) {
    ask(documents_);
  }
}

void SplitFeedSource::ask(Feed& feed) {
  if (!in_session_ || feed.in_flight) {
    return;
  }
  const Duration left = feed.due_at - time_source_.monotonicTime();
  if (left > Duration::zero()) {
    scheduler_.callAfter(left, [this, session = session_] {
      if (session == session_ && callback_) {
        askFeeds();
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
  if (documents_move_) {
    request.prefix = settings_.endpoints_prefix;
  } else {
    request.after = std::min(endpoints_.position, documents_.position);
  }
  if (!endpoints_.has_answered) {
    request.wait = std::min(request.wait, kCatchUpWait);
  }
  const bool covers_documents = !documents_move_;
  feeds_.watch(request, [this, covers_documents,
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
  feeds_.readPage({settings_.documents_prefix, "", ReadConsistency::Latest},
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
    documents_move_ =
        settings_.splits &&
        std::any_of(changes.changes.begin(), changes.changes.end(),
                    [this](const ItemChange& change) { return isDocument(change.item.key); });
    documents_.due_at = time_source_.monotonicTime() + settings_.pause;
  }
  gathered_.insert(gathered_.end(), std::make_move_iterator(changes.changes.begin()),
                   std::make_move_iterator(changes.changes.end()));
  onAnswered(endpoints_, changes.at, has_changes);
}

void SplitFeedSource::onDocuments(const ItemPage& page) {
  std::unordered_set<std::string> shown;
  bool has_changes = false;
  for (const Item& item : page.items) {
    shown.insert(item.key);
    has_changes = has_changes || item.revision > documents_.position;
    gathered_.push_back({item, false});
  }
  const auto known =
      known_keys_ ? known_keys_(settings_.documents_prefix) : std::vector<std::string>();
  for (const std::string& key : known) {
    if (!page.more && !shown.contains(key)) {
      gathered_.push_back({{key, "", page.at, 0}, true});
      has_changes = true;
    }
  }
  documents_move_ = has_changes || page.more;
  onAnswered(documents_, page.more ? documents_.position : page.at, has_changes);
}

void SplitFeedSource::onAnswered(Feed& feed, Revision at, bool has_changes) {
  feed.in_flight = false;
  feed.has_answered = true;
  feed.position = std::max(feed.position, at);
  feed.answered_at = time_source_.monotonicTime();
  feed.due_at = feed.answered_at + (has_changes ? settings_.pause : Duration::zero());
  if (endpoints_.has_answered && documents_.has_answered) {
    has_answer_ = true;
    deliver();
  } else if (callback_) {
    ask(documents_);
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
  changes.changes = std::exchange(gathered_, {});
  changes.at = std::min(endpoints_.position, documents_.position);
  changes.age_ms = toWireMilliseconds(now - endpoints_.answered_at);
  std::exchange(callback_, nullptr)(std::move(changes));
}

}  // namespace lugfork
