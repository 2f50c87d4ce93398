#pragma once

#include <map>
#include <set>

#include "common/scheduler.h"
#include "discovery/peer_client.h"

namespace lugfork {

/** Other balancers with answers set by the test; those without an answer are silent. */
struct FakePeers : PeerClient {
  explicit FakePeers(Scheduler& test_scheduler) : scheduler(test_scheduler) {}

  void readView(Endpoint peer, Revision after, Duration patience, ViewCallback callback) override {
    requested.push_back(peer);
    requested_after.push_back(after);
    const auto found = answers.find(peer);
    const bool is_silent = found == answers.end();
    const auto answer = is_silent ? PeerRefusal{SourceError::NoAnswer, {}}
                                  : Result<PeerView, PeerRefusal>(found->second);
    scheduler.callAfter(is_silent ? patience : answer_delay,
                        [answer, callback = std::move(callback)] { callback(answer); });
  }

  void exchangePeers(Endpoint peer, PeersCallback callback) override {
    exchanged.push_back(peer);
    callback(answers.contains(peer) ? Result<std::vector<PeerInfo>, SourceError>(reported_peers)
                                    : SourceError::NoAnswer);
  }

  /** The peer answers with changes, or with its full view. */
  void answersWith(Endpoint peer, std::vector<ItemChange> changes, Revision at,
                   std::uint32_t age_ms = 100, bool is_whole = false) {
    answers.insert_or_assign(
        peer, PeerView{{at, age_ms, true}, std::move(changes), at, is_whole, reported_peers});
  }
  void refuses(Endpoint peer, SourceError cause, std::vector<Endpoint> others = {}) {
    answers.insert_or_assign(peer, PeerRefusal{cause, std::move(others)});
  }
  void stopsAnswering(Endpoint peer) { answers.erase(peer); }

  Scheduler& scheduler;
  std::map<Endpoint, Result<PeerView, PeerRefusal>> answers;
  std::vector<PeerInfo> reported_peers;
  /** Time until an answer is complete; a long one simulates a view whose parts arrive slowly. */
  Duration answer_delay = milliseconds(1);
  std::vector<Endpoint> requested;
  std::vector<Revision> requested_after;
  std::vector<Endpoint> exchanged;
};

}  // namespace lugfork
