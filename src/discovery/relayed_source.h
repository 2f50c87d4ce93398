#pragma once

#include <memory>

#include "common/scheduler.h"
#include "discovery/peer_client.h"
#include "discovery/upstream_selector.h"

namespace lugfork {

/** Tunables of a RelayedSource. */
struct RelaySettings {
  /** Pause between two questions to the upstream while there is nothing new. */
  Duration interval = milliseconds(400);
  /** Age of the upstream's view from which the store is asked instead. */
  Duration max_age = milliseconds(1800);
  /** Changes larger than this are read from the store, to spare the upstream's link [bytes]. */
  std::uint32_t max_relayed_bytes = 32 * 1024;
  /** Datagrams in which one watch is answered at most; more news is read from the store. */
  std::uint32_t max_datagrams = 16;
};

/** Told whom this balancer follows. */
class RelayHost {
 public:
  virtual ~RelayHost() = default;

  /** @return false while the store does not answer, so that there is nothing better to follow. */
  virtual bool storeAnswers() const = 0;
  virtual void onUpstreamFollowed(Endpoint upstream) = 0;
  virtual void onUpstreamLeft(Endpoint upstream, std::string_view cause) = 0;
};

/** Counts of a RelayedSource. */
struct RelayCounters {
  std::uint64_t questions = 0;
  std::uint64_t failures = 0;
  /** Changes that came with an answer, were read from an upstream, or were too large for it. */
  std::uint64_t answered = 0;
  std::uint64_t reads = 0;
  std::uint64_t too_large = 0;
};

/**
 * Follows another balancer's view in place of watching the store, so that the calls to the store
 * do not grow with the fleet. Full reads and the first watch after them go to the store; so does
 * a watch whenever the upstream is silent, has an old view or none.
 */
class RelayedSource : public ItemSource {
 public:
  RelayedSource(RelaySettings settings, ItemSource& store, PeerClient& peers, ViewNewsClient& news,
                UpstreamSelector& upstreams, Scheduler& scheduler);

  /** Without a host the store is always watched. */
  void setHost(RelayHost* host) { host_ = host; }

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

  const RelayCounters& counters() const { return counters_; }
  bool isFollowing() const { return following_.has_value(); }

 private:
  void watchStore(const WatchRequest& request, WatchCallback callback);
  /** A watch that an upstream answers, in one datagram or several. */
  struct RelayedWatch {
    Endpoint upstream;
    WatchRequest request;
    WatchCallback callback;
    /** Changes up to here were told. */
    Revision at = 0;
    std::uint32_t datagrams = 0;
    std::vector<ItemChange> changes;
  };
  using RelayedWatchPtr = std::shared_ptr<RelayedWatch>;

  void askUpstream(const RelayedWatchPtr& watch);
  void onNews(const RelayedWatchPtr& watch, const Result<ViewNews, SourceError>& answer);
  void takeNews(const RelayedWatchPtr& watch, const ViewNews& news);
  void takeWithheld(const RelayedWatchPtr& watch, const ViewNews& news);
  void readUpstream(const RelayedWatchPtr& watch);
  /** Answers with what the upstream has told so far. */
  static void answer(const RelayedWatch& watch, const ViewNews& news);
  void leave(Endpoint upstream, std::string_view cause);
  void follow(Endpoint upstream);

  const RelaySettings settings_;
  ItemSource& store_;
  PeerClient& peers_;
  ViewNewsClient& news_;
  UpstreamSelector& upstreams_;
  Scheduler& scheduler_;
  RelayHost* host_ = nullptr;
  /** The store has answered a watch since the last full read. */
  bool caught_up_ = false;
  std::optional<Endpoint> following_;
  RelayCounters counters_;
};

}  // namespace lugfork
