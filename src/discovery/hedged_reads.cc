#include "discovery/hedged_reads.h"

#include <utility>

namespace lugfork {

HedgedReads::HedgedReads(HedgedReadSettings settings, ItemSource& source, Scheduler& scheduler)
    : settings_(settings), source_(source), scheduler_(scheduler) {}

void HedgedReads::readPage(const PageRequest& request, PageCallback callback) {
  send(std::make_shared<Read>(Read{request, std::move(callback), 0, false}));
}

void HedgedReads::watch(const WatchRequest& request, WatchCallback callback) {
  source_.watch(request, std::move(callback));
}

void HedgedReads::send(const ReadPtr& read) {
  if (read->is_over || read->sends == settings_.max_sends) {
    return;
  }
  const bool is_first = read->sends++ == 0;
  hedges_ += is_first ? 0 : 1;
  source_.readPage(read->request, [read, is_first](const Result<ItemPage, SourceError>& answer) {
    const bool counts = answer || is_first || answer.error() != SourceError::NoAnswer;
    if (counts && !std::exchange(read->is_over, true)) {
      read->callback(answer);
    }
  });
  scheduler_.callAfter(settings_.hedge_delay, [this, read] { send(read); });
}

}  // namespace lugfork
