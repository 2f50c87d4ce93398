#pragma once

#include "common/scheduler.h"
#include "discovery/item_source.h"
#include "sim/platform_model.h"

namespace lugfork {

inline constexpr const char* kConfigurationItem = "configuration";
inline constexpr const char* kMachinesItem = "machines";

/**
 * PlatformModel as an item source: the configuration document and the machine list are one item
 * each, with a new revision for each change. Implements the interface common to all platforms.
 */
class PlatformItemSource : public ItemSource {
 public:
  PlatformItemSource(const PlatformModel& platform, Scheduler& scheduler,
                     const TimeSource& time_source);

  void readPage(const PageRequest& request, PageCallback callback) override;
  void watch(const WatchRequest& request, WatchCallback callback) override;

 private:
  /** Assigns new revisions to texts that have changed since the last call. */
  void refresh();
  void refreshItem(Item& item, const std::string& text);
  std::vector<Item> itemsAfter(const std::string& prefix, Revision after) const;
  /** Answers as soon as there are changes, or at the end of the wait. */
  void watchUntil(const WatchRequest& request, MonotonicTime end, WatchCallback callback);

  const PlatformModel& platform_;
  Scheduler& scheduler_;
  const TimeSource& time_source_;
  Item configuration_{kConfigurationItem, "", 0, 0};
  Item machines_{kMachinesItem, "", 0, 0};
  Revision revision_ = 0;
};

}  // namespace lugfork
