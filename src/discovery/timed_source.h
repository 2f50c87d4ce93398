#pragma once

#include <functional>

#include "discovery/item_source.h"

namespace lugfork {

/** Times the reads of another source. Watches are not timed: how long they wait tells nothing. */
class TimedSource : public ItemSource {
 public:
  using TimeCallback = std::function<void(Duration)>;

  TimedSource(ItemSource& source, const TimeSource& time_source)
      : source_(source), time_source_(time_source) {}

  /** Sets what is called with the time of each read that got an answer of any kind. */
  void setReadTimeCallback(TimeCallback callback) { on_read_ = std::move(callback); }

  void readPage(const PageRequest& request, PageCallback callback) override {
    const MonotonicTime started_at = time_source_.monotonicTime();
    source_.readPage(request, [this, started_at, callback = std::move(callback)](
                                  Result<ItemPage, SourceError> answer) {
      if (on_read_) {
        on_read_(time_source_.monotonicTime() - started_at);
      }
      callback(std::move(answer));
    });
  }

  void watch(const WatchRequest& request, WatchCallback callback) override {
    source_.watch(request, std::move(callback));
  }

 private:
  ItemSource& source_;
  const TimeSource& time_source_;
  TimeCallback on_read_;
};

}  // namespace lugfork
