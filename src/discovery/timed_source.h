#pragma once

#include <functional>

#include "discovery/item_source.h"

namespace lugfork {

/** Measures the time of another source's reads. Watches wait for changes and are not measured. */
class TimedSource : public ItemSource {
 public:
  using TimeCallback = std::function<void(Duration)>;

  TimedSource(ItemSource& source, const TimeSource& time_source)
      : source_(source), time_source_(time_source) {}

  /** Sets a callback that gets the duration of each read that was answered or failed. */
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
