#pragma once

#include <memory>
#include <optional>

#include "common/scheduler.h"
#include "discovery/first_view_reader.h"
#include "discovery/probe_schedule.h"
#include "discovery/upstream_poller.h"
#include "discovery/upstream_selector.h"

namespace lugfork {

/** Settings of UpstreamSource. */
struct UpstreamSourceSettings {
  FirstViewReaderSettings first_view;
  UpstreamPollerSettings poll;
  /** When the store is probed; its budget also sets the poll interval. */
  ProbeScheduleSettings probes;
  /** Wait of a watch that probes the store. */
  Duration store_probe_wait = milliseconds(1);
  /** Time without an answer to a store read after which peers are asked as well. */
  Duration store_hedge_delay = milliseconds(200);
  /** Time for which the store is watched after it answered in place of stale upstreams. */
  Duration store_watch_ttl = seconds(3);
};

/** Current source of changes. */
enum class Upstream : std::uint8_t {
  /** Nothing has been received yet. */
  None,
  Store,
  /** A peer with a fresh view. */
  Balancer,
  /** A peer polled because the store does not answer this balancer. */
  FallbackPeer,
};

/** @return the stable name used in logs and metrics. */
const char* toString(Upstream upstream);

/** Receives changes of the upstream. */
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;
  /** @param balancer unset if the upstream is the store. @param cause reason for the change. */
  virtual void onUpstreamChanged(Upstream upstream, Endpoint balancer, std::string_view cause) = 0;
};

/** Counters of UpstreamSource. */
struct UpstreamCounters {
  std::uint64_t polls = 0;
  /** Polls in which no peer had a fresh view. */
  std::uint64_t polls_without_fresh_view = 0;
  /** Polls that returned changes. */
  std::uint64_t polls_with_changes = 0;
  /** Probes of the store because the view had become too old to wait for a poll. */
  std::uint64_t deadline_probes = 0;
  std::uint64_t views_from_peers = 0;
  std::uint64_t store_page_reads = 0;
  std::uint64_t store_watches = 0;
  std::uint64_t fallback_polls = 0;
};

/**
 * Routes each read and watch to the store or to a peer, so that the number of calls to the store
 * does not grow with the size of the fleet.
 *
 * - A balancer that starts reads its view from a peer; only seeds read the store directly.
 * - The balancers that UpstreamSelector ranks best watch the store; all others poll one of them.
 * - If an upstream's view is stale, other upstreams are polled, then the store is probed.
 * - The store is probed, even during a poll, before the view is so old that changes could no longer
 *   take effect in time.
 * - If the store does not answer, peers are polled as a fallback.
 *
 * Revisions are those of the store, so the view never reverts when the upstream changes.
 */
class UpstreamSource : public ItemSource {
 public:
  /** @param peers null if this balancer has no peers: only the store is used. */
  UpstreamSource(UpstreamSourceSettings settings, Endpoint own_address, ItemSource& store,
                 PeerClient* peers, PeerDirectory& directory, UpstreamSelector& selector,
                 Scheduler& scheduler, const TimeSource& time_source);

  void setListener(UpstreamListener* listener) { listener_ = listener; }

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

  Upstream upstream() const { return upstream_; }
  const UpstreamCounters& counters() const { return counters_; }

 private:
  /** A read that the store or peers may answer; the first successful answer is used. */
  struct PageRace {
    PageCallback callback;
    bool is_done = false;
    bool peers_polled = false;
    bool peers_failed = false;
    std::optional<SourceError> store_error;
  };
  using PageRacePtr = std::shared_ptr<PageRace>;

  /** A watch that a poll or a store probe may answer; the first successful answer is used. */
  struct PolledWatch {
    WatchRequest request;
    WatchCallback callback;
    bool is_done = false;
    bool store_probed = false;
    /** Set once the store has failed. */
    std::optional<SourceError> store_error;
    /** Set once the poll has ended without a fresh view. */
    std::optional<PollResult> stale_result;
  };
  using PolledWatchPtr = std::shared_ptr<PolledWatch>;

  bool readsStoreFirst();
  void readStore(const PageRequest& request, PageCallback callback);
  void pollPeersToo(const PageRacePtr& race);
  void finishRace(const PageRacePtr& race);

  void pollUpstreams(const PolledWatchPtr& watch);
  void onPolled(const PolledWatchPtr& watch, const PollResult& result);
  /** Schedules a store probe for the time at which the view's age makes it this balancer's turn. */
  void scheduleDeadline(const PolledWatchPtr& watch);
  void onDeadline(const PolledWatchPtr& watch);
  void watchStore(const WatchRequest& request, WatchCallback callback);
  /** Probes the store; the upstreams' answer is used if the store does not answer. */
  void probeStore(const PolledWatchPtr& watch, std::string_view cause);
  /** Completes a watch that neither the store nor a fresh upstream has answered. */
  void finishWithoutStore(const PolledWatchPtr& watch);
  /** Announces this balancer's view to the seeds, so that they can refer other balancers to it. */
  void announceView(Revision position);
  /** Polls fallback peers; the callback gets the error if none of them has a view. */
  void pollFallbackPeers(const WatchRequest& request, SourceError error,
                         const WatchCallback& callback);
  /** The same for a watch that the store may answer in the meantime. */
  void pollFallbackPeersFor(const PolledWatchPtr& watch);
  /** Answers a watch unless it has been answered before. */
  static void answer(const PolledWatchPtr& watch, const Result<ItemChanges, SourceError>& changes);
  /** Keeps changes that the store sent after the watch was answered, for the next answer. */
  void keepLateChanges(const Result<ItemChanges, SourceError>& changes);
  /** @return a callback that prepends late changes to the changes of the answer. */
  WatchCallback withLateChanges(WatchCallback callback);
  /** @return the changes of a peer's view as the answer to a watch. */
  Result<ItemChanges, SourceError> changesOf(const PollResult& result);

  void onStoreError(SourceError error);
  void setUpstream(Upstream upstream, Endpoint balancer, std::string_view cause);
  /** @return true if a peer may have the data after this error of the store. */
  static bool canPeersAnswer(SourceError error);
  static ItemPage toPage(PeerView view);

  const UpstreamSourceSettings settings_;
  const Endpoint own_address_;
  ItemSource& store_;
  PeerClient* const peers_;
  PeerDirectory& directory_;
  UpstreamSelector& selector_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  UpstreamListener* listener_ = nullptr;
  std::unique_ptr<FirstViewReader> first_view_;
  std::unique_ptr<UpstreamPoller> poller_;

  ProbeSchedule schedule_;
  Upstream upstream_ = Upstream::None;
  Endpoint upstream_balancer_;
  /** A store watch or a whole view has delivered the changes since the last full read. */
  bool caught_up_ = false;
  SourceError last_store_error_ = SourceError::NoAnswer;
  /**
   * Changes from the store that arrived after their watch had been answered. A source that
   * continues from its last position does not send them again: while they were dropped, the end of
   * a backend was never detected.
   */
  std::vector<ItemChange> late_changes_;
  MonotonicTime watch_store_until_;
  UpstreamCounters counters_;
};

}  // namespace lugfork
