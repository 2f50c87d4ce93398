#pragma once

#include <memory>
#include <optional>

#include "common/scheduler.h"
#include "discovery/first_view_reader.h"
#include "discovery/probe_schedule.h"
#include "discovery/upstream_poller.h"
#include "discovery/upstream_selector.h"

namespace lugfork {

/** Tunables of an UpstreamSource. */
struct UpstreamSourceSettings {
  FirstViewSettings first_view;
  UpstreamPollerSettings poll;
  /** When the store is called; its budget also sets the pause between polls. */
  ProbeScheduleSettings probes;
  /** Wait of a watch that tries the store again. */
  Duration store_probe_wait = milliseconds(1);
  /** Time without an answer of the store to a read after which other balancers are asked too. */
  Duration store_hedge_delay = milliseconds(200);
  /** Time for which the store is watched after it knew better than the upstreams. */
  Duration store_watch_ttl = seconds(3);
};

/** Where changes come from at present. */
enum class Upstream : std::uint8_t {
  /** Nothing has been told yet. */
  None,
  Store,
  /** Another balancer with a fresh view. */
  Balancer,
  /** Another balancer, since the store does not answer this one. */
  FallbackPeer,
};

/** Stable name, for logs and metrics. */
const char* toString(Upstream upstream);

/** Listener for changes of the upstream. */
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;
  /** @param balancer unset where that is the store. @param cause why the upstream has changed. */
  virtual void onUpstreamChanged(Upstream upstream, Endpoint balancer, std::string_view cause) = 0;
};

/** Counts of an UpstreamSource. */
struct UpstreamCounters {
  std::uint64_t polls = 0;
  /** Polls in which no balancer had a fresh view. */
  std::uint64_t polls_without_fresh_view = 0;
  /** Polls that brought changes. */
  std::uint64_t polls_with_changes = 0;
  /** Calls to the store because the view had grown too old to wait for a poll any longer. */
  std::uint64_t deadline_probes = 0;
  std::uint64_t views_from_peers = 0;
  std::uint64_t store_page_reads = 0;
  std::uint64_t store_watches = 0;
  std::uint64_t fallback_polls = 0;
};

/**
 * Decides where each read and watch goes: to the store, or to another balancer, so that the calls
 * to the store do not grow with the fleet.
 *
 * - A balancer that starts gets its view from another; only seeds read the store at once.
 * - Those with the lowest ranks watch the store, all others poll one of these.
 * - A view that has grown old is compared with other upstreams', then with the store.
 * - Before a view is too old for what changed since to come into force in time, the store is asked,
 *   even while a poll is under way.
 * - Where the store does not answer, other balancers stand in for it.
 *
 * Revisions are the store's own, so that the follower's view never goes back when its upstream
 * changes.
 */
class UpstreamSource : public ItemSource {
 public:
  /** @param peers null where this balancer knows no other: only the store is asked. */
  UpstreamSource(UpstreamSourceSettings settings, Endpoint own_address, ItemSource& store,
                 PeerClient* peers, PeerDirectory& directory, UpstreamSelector& selector,
                 Scheduler& scheduler, const TimeSource& time_source);

  void setListener(UpstreamListener* listener) { listener_ = listener; }

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

  Upstream upstream() const { return upstream_; }
  const UpstreamCounters& counters() const { return counters_; }

 private:
  /** A read that the store and other balancers may answer; the first good answer counts. */
  struct PageRace {
    PageCallback callback;
    bool is_done = false;
    bool peers_polled = false;
    bool peers_failed = false;
    std::optional<SourceError> store_error;
  };
  using PageRacePtr = std::shared_ptr<PageRace>;

  /** A watch that a poll, or the store in its place, may answer; the first good answer counts. */
  struct PolledWatch {
    WatchRequest request;
    WatchCallback callback;
    bool is_done = false;
    bool store_probed = false;
    /** Set once the store has failed to answer. */
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
  /** Asks the store when the view reaches the age at which it is this balancer's turn. */
  void scheduleDeadline(const PolledWatchPtr& watch);
  void onDeadline(const PolledWatchPtr& watch);
  void watchStore(const WatchRequest& request, WatchCallback callback);
  /** Tries the store; what the upstreams told counts where the store does not answer. */
  void probeStore(const PolledWatchPtr& watch, std::string_view cause);
  /** Ends a watch that neither the store nor a fresh upstream has answered. */
  void finishWithoutStore(const PolledWatchPtr& watch);
  /** Shows the seeds that this balancer has a view, so that they can send others here. */
  void announceView(Revision position);
  void pollFallbackPeers(const WatchRequest& request, SourceError error,
                         const WatchCallback& callback);
  /** The same for a watch that the store may answer meanwhile. */
  void pollFallbackPeersFor(const PolledWatchPtr& watch);
  /** Answers a watch unless that has been done. */
  static void answer(const PolledWatchPtr& watch, const Result<ItemChanges, SourceError>& changes);
  /** Keeps what the store told for a watch that was over, for the next answer. */
  void keepLateChanges(const Result<ItemChanges, SourceError>& changes);
  /** @return a callback that is told late changes before the answer's own. */
  WatchCallback withLateChanges(WatchCallback callback);
  /** @return what a watch is told of another balancer's view. */
  Result<ItemChanges, SourceError> changesOf(const PollResult& result);

  void onStoreError(SourceError error);
  void setUpstream(Upstream upstream, Endpoint balancer, std::string_view cause);
  /** @return true where another balancer may know what the store did not answer. */
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
  /** A watch of the store, or a whole view, has shown what came since the last full read. */
  bool caught_up_ = false;
  SourceError last_store_error_ = SourceError::NoAnswer;
  /**
   * Changes that the store told too late for the watch that had asked. A source that goes on from
   * what it has told does not tell them again: dropped, the end of a server was never known.
   */
  std::vector<ItemChange> late_changes_;
  MonotonicTime watch_store_until_;
  UpstreamCounters counters_;
};

}  // namespace lugfork
