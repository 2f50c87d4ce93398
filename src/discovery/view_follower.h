#pragma once

#include <string>

#include "common/random_generator.h"
#include "common/scheduler.h"
#include "discovery/item_view.h"

namespace lugfork {

/** Settings of ViewFollower. */
struct ViewFollowerSettings {
  /** Longest time that the source holds a watch open while nothing changes. */
  Duration watch_wait = seconds(1);
  /** Delay before a failed call is retried: doubles from min to max, half of it random. */
  Duration min_retry_delay = milliseconds(100);
  Duration max_retry_delay = seconds(1);
  /** The view is fresh while its age is at most this plus the longest wait of a watch. */
  Duration max_answer_age = seconds(4);
  /**
   * Time without data after which the source counts as having been unavailable, so that entries may
   * have expired during the outage. It is longer than a follower needs to leave an upstream with an
   * aging view (design note 0012): entries that vanish in that case were removed by their owners.
   */
  Duration outage_threshold = seconds(3);
  /** Time after an outage of the source in which live backends rewrite expired entries. */
  Duration settle_window = seconds(2);
  /** Whether a lagging replica may serve the first full read; a watch then catches up. */
  ReadConsistency first_read_consistency = ReadConsistency::MayBeStale;
};

/** Source of the first complete view. */
enum class ViewOrigin { Store, Balancer };

/** Receives the events of a ViewFollower. */
class ViewFollowerHost {
 public:
  virtual ~ViewFollowerHost() = default;

  /** Changes that are newer than the view, in the order in which they were received. */
  virtual void onItems(const std::vector<ItemChange>& changes) = 0;

  /** The first full read has finished: the view is complete. */
  virtual void onComplete(ViewOrigin origin) = 0;

  /** The view has caught up and may be served to peers from now on. */
  virtual void onCaughtUp() = 0;

  /** A call failed: the first of consecutive failures, or one with another cause than before. */
  virtual void onSourceLost(SourceError cause) = 0;

  /** A call succeeded after failures. */
  virtual void onSourceRecovered(Duration lost_for) = 0;
};

/** Counters of ViewFollower since its start. */
struct ViewFollowerCounters {
  std::uint64_t pages = 0;
  std::uint64_t watches = 0;
  std::uint64_t full_reads = 0;
  /** Items that were skipped because they have no key or no revision. */
  std::uint64_t items_unreadable = 0;
  std::uint64_t errors[static_cast<std::size_t>(SourceError::Last) + 1] = {};
};

/**
 * Keeps the view of one prefix up to date: a full read in pages, then one watch after another. A
 * failed call leaves the view unchanged; if the source no longer has the history, all items are
 * read again.
 */
class ViewFollower {
 public:
  ViewFollower(std::string prefix, ViewFollowerSettings settings, ItemSource& source,
               Scheduler& scheduler, const TimeSource& time_source, RandomGenerator& random,
               ViewFollowerHost& host);

  void start();

  bool isComplete() const { return complete_; }

  /**
   * @return true once a watch has delivered the changes since the first full read, which a lagging
   * replica may have answered. The view must not be served to peers before.
   */
  bool isCaughtUp() const { return caught_up_; }

  /**
   * @return true if the source has answered recently enough for the view to count as current; false
   * until the view has caught up.
   */
  bool isFresh() const;

  /**
   * @return time until entries that expired during an outage of the source count as gone unless
   * they have been rewritten; zero if the source has been available for long enough. A start counts
   * as the end of an outage, since entries may have expired before it too.
   */
  Duration timeUntilSettled() const;

  /** @return time since the platform confirmed the view's newest state. */
  Duration age() const { return time_source_.monotonicTime() - answered_at_; }

  Revision revision() const { return view_.newestRevision(); }
  const ItemView& view() const { return view_; }
  const ViewFollowerCounters& counters() const { return counters_; }

 private:
  void startFullRead(ReadConsistency consistency);
  void readNextPage();
  void onPage(Result<ItemPage, SourceError> answer);
  void finishFullRead(bool is_whole_view);
  void setCaughtUp();
  void startWatch(Duration wait);
  void onChanges(const Result<ItemChanges, SourceError>& answer);
  void onAnswer(Duration answer_age);
  void onError(SourceError error);
  /** Calls the function after a delay that grows with consecutive failures. */
  void retry(std::function<void()> function);
  void reportItems(const std::vector<ItemChange>& changes);

  const std::string prefix_;
  const ViewFollowerSettings settings_;
  ItemSource& source_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  ViewFollowerHost& host_;
  ItemView view_;
  ReadConsistency consistency_ = ReadConsistency::Latest;
  std::string page_after_key_;
  Revision watch_after_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  SourceError last_error_ = SourceError::NoAnswer;
  MonotonicTime failing_since_;
  MonotonicTime answered_at_;
  /** Time of the first answer, or of the first one after the last outage. */
  MonotonicTime recovered_at_;
  bool complete_ = false;
  /** A watch has been answered since the view became complete. */
  bool caught_up_ = false;
  ViewFollowerCounters counters_;
};

}  // namespace lugfork
