#include "discovery/first_view_reader.h"

#include <limits>
#include <utility>

namespace lugfork {

namespace {

Duration delayByRank(Duration max_delay, Endpoint local_address) {
  constexpr auto kAllRanks = static_cast<double>(std::numeric_limits<PeerRank>::max());
  const double fraction = static_cast<double>(peerRank(local_address)) / kAllRanks;
  return Duration(static_cast<std::int64_t>(fraction * static_cast<double>(max_delay.count())));
}

}  // namespace

FirstViewReader::FirstViewReader(FirstViewReaderSettings settings, Endpoint local_address,
                                 PeerDirectory& directory, PeerClient& peers, Scheduler& scheduler,
                                 const TimeSource& time_source)
    : settings_(settings),
      local_delay_(delayByRank(settings.store_spread, local_address)),
      directory_(directory),
      peers_(peers),
      scheduler_(scheduler),
      time_source_(time_source) {}

void FirstViewReader::read(std::vector<Endpoint> first, Callback callback) {
  const auto read = std::make_shared<Read>();
  read->callback = std::move(callback);
  read->started_at = time_source_.monotonicTime();
  refillCandidates(read);
  // Only the first of them precedes the seeds: each one without a view would delay the seeds by a
  // timeout.
  if (!first.empty()) {
    read->candidates.push_front(first.front());
  }
  requestNext(read);
}

void FirstViewReader::requestNext(const ReadPtr& read) {
  if (mustReadStore(*read)) {
    read->callback(std::nullopt);
    return;
  }
  if (read->candidates.empty()) {
    refillCandidates(read);
    scheduler_.callAfter(settings_.retry_delay, [this, read] { requestNext(read); });
    return;
  }
  const Endpoint peer = read->candidates.front();
  read->candidates.pop_front();
  requestView(read, peer);
}

void FirstViewReader::requestView(const ReadPtr& read, Endpoint peer) {
  peers_.readView(peer, 0, settings_.answer_timeout,
                  [this, read, peer](Result<PeerView, PeerRefusal> answer) {
                    onAnswer(read, peer, std::move(answer));
                  });
}

void FirstViewReader::onAnswer(const ReadPtr& read, Endpoint peer,
                               Result<PeerView, PeerRefusal> answer) {
  if (answer) {
    directory_.onAnswer(peer);
    directory_.onPeersReported(answer.value().peers);
    if (milliseconds(answer.value().status.age_ms) <= settings_.max_age) {
      read->callback(std::move(answer.value()));
      return;
    }
    read->was_refused = true;
    requestNext(read);
    return;
  }
  const PeerRefusal& refusal = answer.error();
  if (refusal.cause != SourceError::NoAnswer) {
    read->was_refused = true;
    directory_.onAnswer(peer);
  }
  if (refusal.cause == SourceError::Unavailable) {
    // Otherwise balancers without a view would be tried repeatedly before a seed that has one.
    directory_.onUnavailable(peer);
  }
  const bool is_referral = refusal.cause == SourceError::Throttled && !refusal.others.empty();
  if (is_referral && ++read->referrals <= settings_.max_referrals) {
    requestView(read, refusal.others.front());
    return;
  }
  read->referrals = 0;
  read->candidates.insert(read->candidates.begin(), refusal.others.begin(), refusal.others.end());
  requestNext(read);
}

void FirstViewReader::refillCandidates(const ReadPtr& read) {
  const std::vector<Endpoint> seeds = directory_.shuffledSeeds();
  read->candidates.assign(seeds.begin(), seeds.end());
  if (const auto peer = directory_.pickRandom()) {
    read->candidates.push_back(*peer);
  }
}

bool FirstViewReader::mustReadStore(const Read& read) const {
  const Duration limit = read.was_refused ? settings_.refusal_timeout : settings_.silence_timeout;
  return time_source_.monotonicTime() - read.started_at >= limit + local_delay_;
}

}  // namespace lugfork
