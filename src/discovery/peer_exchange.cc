#include "discovery/peer_exchange.h"

namespace lugfork {

PeerExchange::PeerExchange(PeerExchangeSettings settings, Endpoint own_address,
                           PeerDirectory& directory, PeerClient& client, Scheduler& scheduler,
                           RandomGenerator& random)
    : settings_(settings),
      own_address_(own_address),
      directory_(directory),
      client_(client),
      scheduler_(scheduler),
      random_(random) {}

void PeerExchange::start() {
  const auto longest = static_cast<std::uint64_t>(settings_.first_delay.count());
  exchangeAfter(Duration(static_cast<std::int64_t>(random_.below(longest))));
}

void PeerExchange::exchangeAfter(Duration delay) {
  scheduler_.callAfter(delay, [this] {
    if (const auto peer = directory_.pick()) {
      exchangeWith(*peer);
    }
    exchangeAfter(settings_.interval);
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
