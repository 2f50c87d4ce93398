#include "discovery/peer_exchange.h"

namespace lugfork {

PeerExchange::PeerExchange(PeerExchangeSettings settings, PeerDirectory& directory,
                           PeerClient& client, Scheduler& scheduler, RandomGenerator& random)
    : settings_(settings),
      directory_(directory),
      client_(client),
      scheduler_(scheduler),
      random_(random) {}

void PeerExchange::start() {
  const auto max_delay = static_cast<std::uint64_t>(settings_.first_delay.count());
  const Duration first(static_cast<std::int64_t>(random_.below(max_delay)));
  scheduler_.callAfter(first, [this] { exchangeWithSeed(); });
  scheduler_.callAfter(first + settings_.second_delay, [this] {
    exchangeWithSeed();
    exchangeAfter(settings_.interval);
  });
}

void PeerExchange::exchangeWithSeed() {
  const std::vector<Endpoint> seeds = directory_.shuffledSeeds();
  const std::optional<Endpoint> peer = seeds.empty() ? directory_.pickRandom() : seeds.front();
  if (peer) {
    exchangeWith(*peer);
  }
}

void PeerExchange::exchangeAfter(Duration delay) {
  scheduler_.callAfter(delay, [this] {
    if (const auto peer = directory_.pickRandom()) {
      exchangeWith(*peer);
    }
    exchangeAfter(settings_.interval);
  });
}

void PeerExchange::exchangeWith(Endpoint peer) {
  client_.exchangePeers(peer,
                        [this, peer](const Result<std::vector<PeerInfo>, SourceError>& answer) {
                          if (!answer) {
                            directory_.onFailed(peer);
                            return;
                          }
                          directory_.onAnswer(peer);
                          directory_.onPeersReported(answer.value());
                        });
}

}  // namespace lugfork
