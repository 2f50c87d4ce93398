#pragma once

#include "common/scheduler.h"
#include "discovery/peer_client.h"
#include "discovery/peer_directory.h"

namespace lugfork {

/** Tunables of a PeerExchange. */
struct PeerExchangeSettings {
  Duration interval = seconds(10);
  /** Longest random delay of the first exchange, so that a fleet does not ask its seeds at once. */
  Duration first_delay = milliseconds(500);
};

/** Keeps a PeerDirectory filled: asks the seeds at the start and then one peer after the other. */
class PeerExchange {
 public:
  PeerExchange(PeerExchangeSettings settings, Endpoint own_address, std::vector<Endpoint> seeds,
               PeerDirectory& directory, PeerClient& client, Scheduler& scheduler,
               RandomGenerator& random);

  void start();

 private:
  void exchangeWith(Endpoint peer);
  void exchangeLater();

  const PeerExchangeSettings settings_;
  const Endpoint own_address_;
  const std::vector<Endpoint> seeds_;
  PeerDirectory& directory_;
  PeerClient& client_;
  Scheduler& scheduler_;
  RandomGenerator& random_;
};

}  // namespace lugfork
