#pragma once

#include <string>

#include "common/random_generator.h"
#include "common/scheduler.h"
#include "discovery/item_view.h"

namespace lugfork {

/** Tunables of a ViewFollower. */
struct ViewFollowerSettings {
  /** Longest time for which a watch is held open without a change. */
  Duration watch_wait = seconds(1);
  /** Pause after a failed call: doubles from the first to the longest, half of it random. */
  Duration min_retry_delay = milliseconds(100);
  Duration max_retry_delay = seconds(1);
  /** Answers older than this, and a bit more than a watch, no longer prove that the view is new. */
  Duration max_answer_age = seconds(4);
  /**
   * A source that told nothing for longer than this was away, and entries may have lapsed with it.
   * Longer than a follower needs to leave a balancer whose view grows old (design note 0012): what
   * vanishes then was taken away by its owner.
   */
  Duration outage_threshold = seconds(3);
  /** Time after a source's return in which living servers write lapsed entries again. */
  Duration settle_window = seconds(2);
  /** Whether the first full read may be served by a lagging replica; a watch then catches up. */
  ReadConsistency first_read_consistency = ReadConsistency::MayBeStale;
};

/** Who told the first view. */
enum class ViewOrigin { Store, Balancer };

/** Takes what a ViewFollower learns. */
class ViewFollowerHost {
 public:
  virtual ~ViewFollowerHost() = default;

  /** Items that are newer than what was known, in the order in which they were told. */
  virtual void onItems(const std::vector<ItemChange>& changes) = 0;

  /** The view has become complete: the first full read is done. */
  virtual void onComplete(ViewOrigin origin) = 0;

  /** From now on others may be told of the view. */
  virtual void onCaughtUp() = 0;

  /** A call failed; the first of a row of failures, or another cause than before. */
  virtual void onSourceLost(SourceError cause) = 0;

  /** A call succeeded after failures. */
  virtual void onSourceRecovered(Duration lost_for) = 0;
};

/** Counts of a ViewFollower since its start. */
struct ViewFollowerCounters {
  std::uint64_t pages = 0;
  std::uint64_t watches = 0;
  std::uint64_t full_reads = 0;
  /** Items that were left out since they name no key or no revision. */
  std::uint64_t items_unreadable = 0;
  std::uint64_t errors[static_cast<std::size_t>(SourceError::Last) + 1] = {};
};

/**
 * Keeps the view of one prefix current: a full read in pages, then one watch after the other. A
 * failure changes nothing that is known; lost history leads to another full read.
 */
class ViewFollower {
 public:
  ViewFollower(std::string prefix, ViewFollowerSettings settings, ItemSource& source,
               Scheduler& scheduler, const TimeSource& time_source, RandomGenerator& random,
               ViewFollowerHost& host);

  void start();

  bool isComplete() const { return complete_; }

  /**
   * @return true once a watch has shown what came since the first full read, which a lagging
   * replica may have answered; only then others may be told of this view.
   */
  bool isCaughtUp() const { return caught_up_; }

  /**
   * @return true if the source has answered lately enough that the view is the newest; false until
   * it is caught up.
   */
  bool isFresh() const;

  /**
   * @return time until entries that lapsed while the source was away are back, if ever; zero where
   * the source has been answering for long enough. What a start finds may have lapsed just as well.
   */
  Duration timeUntilSettled() const;

  /** @return time since the platform told the newest of what is known. */
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
  /** Calls the function after a pause that grows with the failures in a row. */
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
  /** When the source told something after it had been away, or for the first time. */
  MonotonicTime recovered_at_;
  bool complete_ = false;
  /** A watch has been answered since the view became complete. */
  bool caught_up_ = false;
  ViewFollowerCounters counters_;
};

}  // namespace lugfork
