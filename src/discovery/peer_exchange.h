#pragma once

#include "common/scheduler.h"
#include "discovery/peer_client.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Settings of a PeerExchange. */
struct PeerExchangeSettings {
  Duration interval = seconds(10);
  /** Maximum random delay of the first exchange, to spread the requests of a starting fleet. */
  Duration first_delay = seconds(1);
  /**
   * Time from the first to the second exchange. Both go to a seed: since every balancer contacts
   * seeds first, seeds know all balancers of a fleet that starts at once.
   */
  Duration second_delay = seconds(2);
};

/** Fills a PeerDirectory by periodic exchanges with a random peer, or a seed if none is known. */
class PeerExchange {
 public:
  PeerExchange(PeerExchangeSettings settings, PeerDirectory& directory, PeerClient& client,
               Scheduler& scheduler, RandomGenerator& random);

  void start();

 private:
  void exchangeAfter(Duration delay);
  void exchangeWithSeed();
  void exchangeWith(Endpoint peer);

  const PeerExchangeSettings settings_;
  PeerDirectory& directory_;
  PeerClient& client_;
  Scheduler& scheduler_;
  RandomGenerator& random_;
};

}  // namespace lugfork
