#pragma once

#include <optional>

#include "common/scheduler.h"
#include "discovery/item_source.h"

namespace lugfork {

/** Which items are watched apart, and how. */
struct SplitFeedSettings {
  /** Prefix of the servers' items: small and urgent, each change counts. */
  std::string endpoints_prefix;
  /** Prefix of the operator's documents: large, and only the newest state of each counts. */
  std::string documents_prefix;
  /**
   * Whether moving documents are read apart. Worth its calls only where a version fills the link
   * for longer than a poll takes; else one watch tells everything.
   */
  bool read_documents_separately = true;
  /** Pause before the next call after one that brought changes, so that a burst needs few calls. */
  Duration cooldown = milliseconds(400);
  /** Time without a watch after which what was told is too old to go on from. */
  Duration session_ttl = milliseconds(1500);
};

/**
 * Links below this rate read moving documents apart [Mbit/s]: a configuration of 1,700 routes, 0.45
 * MB in the store's text, fills such a link for 0.1 s. With links of 10 Mbit/s alone, one watch
 * left views 5 s old in a storm and drained servers got flows; on links of 200 Mbit/s reading apart
 * only cost 100 to 200 calls of 450.
 */
inline constexpr double kSlowLinkMegabits = 40;

/** Counts of a SplitFeedSource. */
struct SplitFeedCounters {
  std::uint64_t watches = 0;
  /** Reads of the newest documents, in place of each version in between. */
  std::uint64_t document_reads = 0;
};

/**
 * Watches a store so that a server's change never waits behind versions of a large configuration on
 * a slow link. While the operator's documents rest, one watch tells all changes. Once they move,
 * the endpoints are watched alone, and the newest state of the documents is read at intervals until
 * it rests again: a watch would bring every version in between.
 *
 * One watch at a time is open towards the user. Its answers lead to the revision up to which both
 * kinds are known; changes beyond it are told as soon as they are there.
 */
class SplitFeedSource : public ItemSource {
 public:
  /** Tells the documents that the user knows by their keys, to find which were deleted. */
  using ListKeys = std::function<std::vector<std::string>(const std::string& prefix)>;

  /** @param source answers whole reads of all items. @param feeds answers everything else. */
  SplitFeedSource(SplitFeedSettings settings, ItemSource& full_read_source, ItemSource& feed_source,
                  Scheduler& scheduler, const TimeSource& time_source);

  void setUserKeys(ListKeys list_user_keys) { list_user_keys_ = std::move(list_user_keys); }

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

  const SplitFeedCounters& counters() const { return counters_; }

 private:
  /** What is known of the items under one prefix. */
  struct Feed {
    /** All changes up to this one have been told. */
    Revision position = 0;
    bool in_flight = false;
    bool has_answered = false;
    /** Not asked again before this. */
    MonotonicTime next_call_at;
    MonotonicTime answered_at;
  };

  void startSession(Revision after);
  void endSession();
  /** Asks for what is not being asked for, now or when its pause is over. */
  void startCalls();
  void startCall(Feed& feed);
  void watchChanges();
  void readDocuments();

  void onChanges(ItemChanges changes, bool covers_documents);
  void onDocuments(const ItemPage& page);
  void onAnswered(Feed& feed, Revision at, bool has_changes);
  void onError(SourceError error);
  /** Answers the user's watch where there is something to tell. */
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
  /** Endpoints; all items while documents rest. */
  Feed endpoints_;
  Feed documents_;
  /** Documents are read apart, since they have changed or nothing is known of them yet. */
  bool reads_documents_ = true;
  /** Answers to calls of an earlier session are left out. */
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
