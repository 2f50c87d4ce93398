#include "discovery/probe_schedule.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"

namespace lugfork {
namespace {

struct ScheduleHarness {
  explicit ScheduleHarness(std::uint32_t fleet = 1) {
    std::vector<PeerInfo> peers;
    for (std::uint32_t address = 1; address <= fleet; ++address) {
      peers.push_back({{address, 1}, 0});
    }
    directory.onPeersReported(peers);
  }

  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  const Endpoint own{1, 1};
  PeerDirectory directory{{}, {own, 0}, {}, time, *random};
  ProbeScheduleSettings settings;
  ProbeSchedule schedule{settings, own, directory, time};
};

TEST_CASE("in a small fleet a probe is due at once, and only while no upstream is fresh",
          "[probe_schedule]") {
  ScheduleHarness harness;
  CHECK_FALSE(harness.schedule.isProbeDue());
  harness.schedule.onNoFreshUpstream();
  CHECK(harness.schedule.isProbeDue());
  harness.schedule.onFreshUpstream();
  CHECK_FALSE(harness.schedule.isProbeDue());
}

TEST_CASE("the deadline counts from the newest state received and never moves back",
          "[probe_schedule]") {
  ScheduleHarness harness;
  harness.time.elapsed += seconds(10);
  harness.schedule.onStateReceived(0);
  const Duration latest = harness.settings.budget.maxProbeAge();
  CHECK(harness.schedule.untilDeadline() == latest);
  harness.time.elapsed += seconds(1);
  CHECK(harness.schedule.untilDeadline() == latest - seconds(1));
  harness.schedule.onStateReceived(5000);
  CHECK(harness.schedule.untilDeadline() == latest - seconds(1));
  harness.schedule.onStateReceived(300);
  CHECK(harness.schedule.untilDeadline() == latest - milliseconds(300));
}

TEST_CASE("a store that does not answer is not called during the retry interval",
          "[probe_schedule]") {
  ScheduleHarness harness;
  harness.schedule.onStoreError();
  CHECK_FALSE(harness.schedule.mayProbe());
  CHECK_FALSE(harness.schedule.mayWatch());
  harness.time.elapsed += harness.settings.store_retry_interval;
  CHECK(harness.schedule.mayProbe());
  CHECK(harness.schedule.mayWatch());
  harness.schedule.onStoreCalled();
  CHECK_FALSE(harness.schedule.mayProbe());
  harness.schedule.onStoreAnswer();
  CHECK(harness.schedule.mayProbe());
}

TEST_CASE("a large fleet probes a store that does not answer less often", "[probe_schedule]") {
  ScheduleHarness harness(98);
  harness.schedule.onStoreError();
  harness.time.elapsed += harness.settings.store_retry_interval;
  CHECK(harness.schedule.mayWatch());
  CHECK_FALSE(harness.schedule.mayProbe());
  harness.time.elapsed += seconds(2);
  CHECK(harness.schedule.mayProbe());
}

}  // namespace
}  // namespace lugfork
