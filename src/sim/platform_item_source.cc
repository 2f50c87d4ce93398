#include "sim/platform_item_source.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Interval at which the platform is polled during a watch. */
constexpr Duration kPollInterval = milliseconds(20);

}  // namespace

PlatformItemSource::PlatformItemSource(const PlatformModel& platform, Scheduler& scheduler,
                                       const TimeSource& time_source)
    : platform_(platform), scheduler_(scheduler), time_source_(time_source) {}

void PlatformItemSource::readPage(const PageRequest& request, PageCallback callback) {
  scheduler_.callAfter(Duration::zero(), [this, request, callback = std::move(callback)] {
    if (platform_.outage()) {
      callback(SourceError::Unavailable);
      return;
    }
    refresh();
    ItemPage page;
    page.items = itemsAfter(request.prefix, 0);
    std::erase_if(page.items, [&](const Item& item) { return item.key <= request.after_key; });
    page.at = revision_;
    callback(std::move(page));
  });
}

void PlatformItemSource::watch(const WatchRequest& request, WatchCallback callback) {
  const MonotonicTime end = time_source_.monotonicTime() + request.wait;
  scheduler_.callAfter(Duration::zero(), [this, request, end, callback = std::move(callback)] {
    watchUntil(request, end, callback);
  });
}

void PlatformItemSource::watchUntil(const WatchRequest& request, MonotonicTime end,
                                    WatchCallback callback) {
  if (platform_.outage()) {
    callback(SourceError::Unavailable);
    return;
  }
  refresh();
  ItemChanges changes;
  for (Item& item : itemsAfter(request.prefix, request.after)) {
    changes.changes.push_back({std::move(item), false});
  }
  const MonotonicTime now = time_source_.monotonicTime();
  if (!changes.changes.empty() || now >= end) {
    changes.at = revision_;
    callback(std::move(changes));
    return;
  }
  const Duration pause = std::min(kPollInterval, end - now);
  scheduler_.callAfter(pause, [this, request, end, callback = std::move(callback)] {
    watchUntil(request, end, callback);
  });
}

void PlatformItemSource::refresh() {
  refreshItem(configuration_, platform_.configuration());
  refreshItem(machines_, platform_.machines());
}

void PlatformItemSource::refreshItem(Item& item, const std::string& text) {
  if (item.revision > 0 && item.value == text) {
    return;
  }
  item.value = text;
  item.revision = ++revision_;
  item.created = item.created == 0 ? item.revision : item.created;
}

std::vector<Item> PlatformItemSource::itemsAfter(const std::string& prefix, Revision after) const {
  std::vector<Item> items;
  for (const Item* item : {&configuration_, &machines_}) {
    if (item->key.starts_with(prefix) && item->revision > after) {
      items.push_back(*item);
    }
  }
  return items;
}

}  // namespace lugfork
