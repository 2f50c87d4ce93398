#pragma once

#include <memory>

#include "common/scheduler.h"
#include "discovery/item_source.h"

namespace lugfork {

/** Settings of HedgedReads. */
struct HedgedReadSettings {
  /**
   * Time without an answer after which the read is sent again. Longer than a slow store needs for
   * an answer (60 times the usual 4 ms), and much shorter than the timeout of a call.
   */
  Duration hedge_delay = milliseconds(300);
  /** Limit of sends of one read. */
  std::uint32_t max_sends = 5;
};

/**
 * Sends a read again on another connection while there is no answer. A connection that hung while
 * the store was unavailable stays silent; a new one is answered as soon as the store recovers. The
 * first answer counts. The read fails when its first send fails, or when any send gets an error
 * other than a missing answer. Watches are forwarded unchanged.
 */
class HedgedReads : public ItemSource {
 public:
  HedgedReads(HedgedReadSettings settings, ItemSource& source, Scheduler& scheduler);

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

  /** @return number of sends beyond the first one of each read. */
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
