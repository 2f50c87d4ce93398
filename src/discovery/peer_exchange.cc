#include "discovery/peer_exchange.h"

namespace lugfork {

PeerExchange::PeerExchange(PeerExchangeSettings settings, Endpoint own_address,
                           std::vector<Endpoint> seeds, PeerDirectory& directory,
                           PeerClient& client, Scheduler& scheduler, RandomGenerator& random)
    : settings_(settings),
      own_address_(own_address),
      seeds_(std::move(seeds)),
      directory_(directory),
      client_(client),
      scheduler_(scheduler),
      random_(random) {}

void PeerExchange::start() {
  const auto delay_count = static_cast<std::uint64_t>(settings_.first_delay.count());
  const Duration delay(static_cast<std::int64_t>(random_.below(delay_count)));
  scheduler_.callAfter(delay, [this] {
    for (const Endpoint& seed : seeds_) {
      if (seed != own_address_) {
        exchangeWith(seed);
      }
    }
    exchangeLater();
  });
}

void PeerExchange::exchangeLater() {
  scheduler_.callAfter(settings_.interval, [this] {
    if (const auto peer = directory_.pick()) {
      exchangeWith(*peer);
    }
    exchangeLater();
  });
}

void PeerExchange::exchangeWith(Endpoint peer) {
  client_.exchangePeers(peer, own_address_,
                        [this, peer](const Result<std::vector<Endpoint>, SourceError>& answer) {
                          if (!answer) {
                            directory_.onFailed(peer);
                            return;
                          }
                          directory_.onAlive(peer);
                          directory_.onTold(answer.value());
                        });
}

}  // namespace lugfork
