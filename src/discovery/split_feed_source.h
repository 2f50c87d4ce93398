#pragma once

#include <optional>

#include "common/scheduler.h"
#include "discovery/item_source.h"

namespace lugfork {

/** Settings of SplitFeedSource. */
struct SplitFeedSettings {
  /** Prefix of the backends' items, which are small and urgent: each change matters. */
  std::string endpoints_prefix;
  /** Prefix of the operator's documents, which are large: only their latest state matters. */
  std::string documents_prefix;
  /**
   * Whether changing documents are read separately. This pays off only if one version occupies the
   * link for longer than a poll takes; otherwise a single watch returns all changes.
   */
  bool read_documents_separately = true;
  /** Delay of the next call after one that returned changes, so that a burst needs few calls. */
  Duration cooldown = milliseconds(400);
  /** Time without a watch after which a session is too old to be continued. */
  Duration session_ttl = milliseconds(1500);
};

/**
 * Balancers with links below this rate read changing documents separately [Mbit/s]. A configuration
 * of 1,700 routes, 0.45 MB in the store's text format, occupies such a link for 0.1 s. On links of
 * 10 Mbit/s a single watch let views become 5 s old during a storm of changes, so that draining
 * backends got flows. On links of 200 Mbit/s separate reads only added 100 to 200 calls of 450.
 */
inline constexpr double kSlowLinkMegabits = 40;

/** Counters of SplitFeedSource. */
struct SplitFeedCounters {
  std::uint64_t watches = 0;
  /** Reads of the latest documents, which replace a watch of each version. */
  std::uint64_t document_reads = 0;
};

/**
 * Watches a store so that the change of a backend is not delayed by versions of a large
 * configuration on a slow link. While the operator's documents do not change, one watch returns all
 * changes. Once they change, only the endpoints are watched, and the latest documents are read at
 * intervals until they stop changing: a watch would return every intermediate version.
 *
 * The user has one watch open at a time. The revision of its answers is the one up to which both
 * kinds of items are complete; later changes are delivered as soon as they arrive.
 */
class SplitFeedSource : public ItemSource {
 public:
  /** Returns the user's keys under a prefix; documents missing from a read were deleted. */
  using ListKeys = std::function<std::vector<std::string>(const std::string& prefix)>;

  /**
   * @param full_read_source serves full reads of all items.
   * @param feed_source serves all other calls.
   */
  SplitFeedSource(SplitFeedSettings settings, ItemSource& full_read_source, ItemSource& feed_source,
                  Scheduler& scheduler, const TimeSource& time_source);

  void setUserKeys(ListKeys list_user_keys) { list_user_keys_ = std::move(list_user_keys); }

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

  const SplitFeedCounters& counters() const { return counters_; }

 private:
  /** State of the calls for one kind of items. */
  struct Feed {
    /** All changes up to this revision have been received. */
    Revision position = 0;
    bool in_flight = false;
    bool has_answered = false;
    /** Earliest time of the next call. */
    MonotonicTime next_call_at;
    MonotonicTime answered_at;
  };

  void startSession(Revision after);
  void endSession();
  /** Starts the calls that are not in flight, now or once their delay is over. */
  void startCalls();
  void startCall(Feed& feed);
  void watchChanges();
  void readDocuments();

  void onChanges(ItemChanges changes, bool covers_documents);
  void onDocuments(const ItemPage& page);
  void onAnswered(Feed& feed, Revision at, bool has_changes);
  void onError(SourceError error);
  /** Answers the user's watch if there is an answer. */
  void deliver();
  bool isDocument(const std::string& key) const {
    return key.starts_with(settings_.documents_prefix);
  }

  const SplitFeedSettings settings_;
  ItemSource& full_read_source_;
  ItemSource& feed_source_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  ListKeys list_user_keys_;
  /** Endpoints; all items while documents do not change. */
  Feed endpoints_;
  Feed documents_;
  /** Documents are read separately: they have changed, or have not been read yet. */
  bool reads_documents_ = true;
  /** Answers to calls of earlier sessions are ignored. */
  std::uint64_t session_ = 0;
  bool has_session_ = false;
  WatchRequest request_;
  WatchCallback callback_;
  std::vector<ItemChange> pending_changes_;
  bool has_answer_ = false;
  MonotonicTime delivered_at_;
  SplitFeedCounters counters_;
};

}  // namespace lugfork
