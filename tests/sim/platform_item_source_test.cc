#include "sim/platform_item_source.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "discovery/view_follower.h"

namespace lugfork {
namespace {

/** A ViewFollower with PlatformItemSource as its source. */
struct StandinHarness : ViewFollowerHost {
  StandinHarness() {
    follower.start();
    scheduler.advance(milliseconds(10));
  }

  void onItems(const std::vector<ItemChange>& changes) override {
    for (const ItemChange& change : changes) {
      items[change.item.key] = change.item.value;
    }
  }
  void onComplete(ViewOrigin) override {}
  void onCaughtUp() override {}
  void onSourceLost(SourceError cause) override { losses.push_back(cause); }
  void onSourceRecovered(Duration) override {}

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  PlatformModel platform{time, "document 1", "machines 1"};
  PlatformItemSource source{platform, scheduler, time};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  std::map<std::string, std::string> items;
  std::vector<SourceError> losses;
  ViewFollower follower{"", ViewFollowerSettings(), source, scheduler, time, *random, *this};
};

using Items = std::map<std::string, std::string>;

TEST_CASE("view follower receives the items of the platform model and their changes",
          "[platform_item_source]") {
  StandinHarness harness;
  CHECK(harness.follower.isComplete());
  CHECK(harness.items == Items{{"configuration", "document 1"}, {"machines", "machines 1"}});
  harness.platform.setMachines("machines 2");
  harness.scheduler.advance(milliseconds(100));
  CHECK(harness.items["machines"] == "machines 2");
}

TEST_CASE("items are kept during an outage of the platform model and updated after it",
          "[platform_item_source]") {
  StandinHarness harness;
  harness.platform.setOutage(true);
  harness.scheduler.advance(seconds(5));
  CHECK(harness.losses == std::vector<SourceError>{SourceError::Unavailable});
  CHECK(harness.items.size() == 2);
  harness.platform.setMachines("machines 3");
  harness.platform.setOutage(false);
  harness.scheduler.advance(seconds(5));
  CHECK(harness.items["machines"] == "machines 3");
}

}  // namespace
}  // namespace lugfork
