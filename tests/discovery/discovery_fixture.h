#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "common/scheduler.h"
#include "discovery/item_source.h"
#include "flow/router_harness.h"

/** A scheduler with a manual clock, and a store whose answers are given by the test. */
namespace lugfork {

class ManualScheduler : public Scheduler {
 public:
  explicit ManualScheduler(ManualTimeSource& time) : time_(time) {}

  void callAfter(Duration delay, std::function<void()> function) override {
    calls_.emplace(time_.elapsed + delay, std::move(function));
  }

  /** Advances the clock and runs the calls that are due, in order. */
  void advance(Duration duration) {
    const Duration end = time_.elapsed + duration;
    while (!calls_.empty() && calls_.begin()->first <= end) {
      const auto next = calls_.begin();
      time_.elapsed = std::max(time_.elapsed, next->first);
      const auto function = std::move(next->second);
      calls_.erase(next);
      function();
    }
    time_.elapsed = end;
  }

 private:
  ManualTimeSource& time_;
  std::multimap<Duration, std::function<void()>> calls_;
};

/** Holds calls until the test answers them: one pending call of each kind per prefix. */
class ManualSource : public ItemSource {
 public:
  void readPage(const PageRequest& request, PageCallback callback) override {
    page_requests.push_back(request);
    pages_[request.prefix] = std::move(callback);
  }
  void watch(const WatchRequest& request, WatchCallback callback) override {
    watch_requests.push_back(request);
    watches_[request.prefix] = std::move(callback);
  }

  bool hasPage(const std::string& prefix) const { return pages_.contains(prefix); }
  bool hasWatch(const std::string& prefix) const { return watches_.contains(prefix); }

  void answerPage(const std::string& prefix, Result<ItemPage, SourceError> answer) {
    const auto call = pages_.extract(prefix);
    REQUIRE(!call.empty());
    call.mapped()(std::move(answer));
  }
  void answerWatch(const std::string& prefix, Result<ItemChanges, SourceError> answer) {
    const auto call = watches_.extract(prefix);
    REQUIRE(!call.empty());
    call.mapped()(std::move(answer));
  }

  std::vector<PageRequest> page_requests;
  std::vector<WatchRequest> watch_requests;

 private:
  std::map<std::string, PageCallback> pages_;
  std::map<std::string, WatchCallback> watches_;
};

inline Item item(const std::string& key, Revision revision, const std::string& value = "v") {
  return Item{key, value, revision, revision};
}

inline ItemChange written(const std::string& key, Revision revision,
                          const std::string& value = "v") {
  return {item(key, revision, value), false};
}

inline ItemChange deleted(const std::string& key, Revision revision) {
  return {item(key, revision, ""), true};
}

}  // namespace lugfork
