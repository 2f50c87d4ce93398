#pragma once

#include "common/scheduler.h"
#include "discovery/peer_client.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Tunables of a FailoverSource. */
struct FailoverSettings {
  /** Pause between two calls to peers while there is nothing new. */
  Duration peer_interval = milliseconds(400);
  /** Time between two tries of the store while peers stand in for it. */
  Duration store_interval = seconds(1);
  /** Wait of a watch that tries the store again. */
  Duration store_probe_wait = milliseconds(1);
};

/** Told when peers stand in for the store, and when the store is back. */
class FailoverHost {
 public:
  virtual ~FailoverHost() = default;
  virtual void onPeerFollowed(Endpoint peer, SourceError cause) = 0;
  virtual void onStoreFollowed() = 0;
};

/**
 * Reads the platform's store, and the view of another balancer while the store does not answer
 * this one: it may be down, refuse this machine or be cut off from it. Since revisions are the
 * store's own, the follower's view never goes back when the source changes.
 */
class FailoverSource : public ItemSource {
 public:
  FailoverSource(FailoverSettings settings, ItemSource& store, PeerClient& peers,
                 PeerDirectory& directory, Scheduler& scheduler, const TimeSource& time_source);

  void setHost(FailoverHost* host) { host_ = host; }

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

  bool isFollowingPeers() const { return following_peers_; }

  /** @return false since the store's last answer was a failure. */
  bool storeAnswers() const { return !store_failing_; }

 private:
  bool storeIsDue() const;
  void onStoreAnswer();
  /** @return true where a peer may know what the store did not answer. */
  static bool peersMayHelp(SourceError error);
  void onStoreError(SourceError error);
  void readPageFromPeer(const PageRequest& request, SourceError store_error, PageCallback callback);
  void watchPeer(const WatchRequest& request, SourceError store_error, WatchCallback callback);
  void onPeerAnswer(Endpoint peer, SourceError store_error);

  const FailoverSettings settings_;
  ItemSource& store_;
  PeerClient& peers_;
  PeerDirectory& directory_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  FailoverHost* host_ = nullptr;
  bool store_failing_ = false;
  bool following_peers_ = false;
  SourceError last_store_error_ = SourceError::NoAnswer;
  MonotonicTime store_tried_at_;
};

}  // namespace lugfork
