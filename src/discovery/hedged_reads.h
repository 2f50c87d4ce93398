#pragma once

#include <memory>

#include "common/scheduler.h"
#include "discovery/item_source.h"

namespace lugfork {

/** Tunables of HedgedReads. */
struct HedgedReadSettings {
  /**
   * Silence after which the same read is sent once more: longer than a slow store takes for an
   * answer (4 ms, sixty times slower), much shorter than the time limit of a call.
   */
  Duration hedge_delay = milliseconds(300);
  /** Sends of one read at most. */
  std::uint32_t max_sends = 5;
};

/**
 * Sends a read again, on another connection, while there is no answer: a connection that hung while
 * the store was silent stays silent, a new one is answered as soon as the store is back. The first
 * answer counts; the read has failed once the first send has. Watches are passed on as they are.
 */
class HedgedReads : public ItemSource {
 public:
  HedgedReads(HedgedReadSettings settings, ItemSource& source, Scheduler& scheduler);

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

  /** @return reads that were sent again. */
  std::uint64_t hedges() const { return hedges_; }

 private:
  struct Read {
    PageRequest request;
    PageCallback callback;
    std::uint32_t sends = 0;
    bool is_over = false;
  };
  using ReadPtr = std::shared_ptr<Read>;

  void send(const ReadPtr& read);

  const HedgedReadSettings settings_;
  ItemSource& source_;
  Scheduler& scheduler_;
  std::uint64_t hedges_ = 0;
};

}  // namespace lugfork
