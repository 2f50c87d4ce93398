#include <catch2/catch.hpp>

#include "cluster/fleet_fixture.h"

namespace lugfork {
namespace {

InProcessFleetSettings nineNodes() {
  InProcessFleetSettings settings;
  settings.nodes = 9;
  return settings;
}

TEST_CASE("change in one zone's platform replica is in force on all nodes within 5 s") {
  const InProcessFleetSettings settings = nineNodes();
  auto fleet = settledFleet(settings);
  fleet->setReplica("zone-2", documentOf(changedConfiguration(settings, 2, 0)));
  const auto done = [&] { return fleet->allHaveVersion(ConfigVersion(2)); };
  CHECK(fleet->runUntil(done, seconds(30)) < seconds(5));
  fleet->run(seconds(30));
  CHECK(fleet->allHaveVersion(ConfigVersion(2)));
  CHECK(fleet->configurationReverts() == 0);
}

TEST_CASE(
    "platform outage of one hour keeps the configuration and a change made meanwhile is adopted") {
  InProcessFleetSettings settings = nineNodes();
  auto fleet = settledFleet(settings);
  fleet->setPlatformReachable("", false);
  fleet->publish(changedConfiguration(settings, 2, 0));
  fleet->run(std::chrono::hours(1));
  CHECK(fleet->allHaveVersion(ConfigVersion(1)));
  CHECK(placingNodeCount(*fleet) == 9);
  fleet->setPlatformReachable("zone-1", true);
  const auto done = [&] { return fleet->allHaveVersion(ConfigVersion(2)); };
  CHECK(fleet->runUntil(done, seconds(30)) < seconds(11));
  CHECK(fleet->configurationReverts() == 0);
}

TEST_CASE("restarted node adopts its peers' version when the platform is stale") {
  const InProcessFleetSettings settings = nineNodes();
  auto fleet = settledFleet(settings);
  const std::string stale = fleet->platformText();
  fleet->publish(changedConfiguration(settings, 2, 0));
  fleet->run(seconds(10));
  REQUIRE(fleet->allHaveVersion(ConfigVersion(2)));
  for (const char* zone : {"zone-1", "zone-2", "zone-3"}) {
    fleet->setReplica(zone, stale);
  }
  fleet->kill(4);
  fleet->run(seconds(1));
  fleet->start(4);
  // The node must not place flows before it has the version in force at its peers.
  const auto placing = [&] { return fleet->node(4)->placementBlockedBy() == Reason::None; };
  CHECK(fleet->runUntil(placing, seconds(30)) < seconds(6));
  CHECK(fleet->node(4)->configuration().version() == ConfigVersion(2));
  CHECK(fleet->node(4)->clusterStatus().join == JoinState::Joined);
}

TEST_CASE("partitioned zone keeps placing and the highest version wins after the partition heals") {
  const InProcessFleetSettings settings = nineNodes();
  auto fleet = settledFleet(settings);
  fleet->cutZone("zone-3");
  fleet->setReplica("zone-3", documentOf(changedConfiguration(settings, 3, 1)));
  fleet->publish(changedConfiguration(settings, 2, 0));
  fleet->run(seconds(60));
  for (std::size_t index = 0; index < fleet->size(); ++index) {
    const ConfigVersion expected(fleet->zoneOf(index) == "zone-3" ? 3 : 2);
    CHECK(fleet->node(index)->configuration().version() == expected);
  }
  CHECK(placingNodeCount(*fleet) == 9);
  fleet->clearReplicas();
  fleet->heal();
  const auto done = [&] { return fleet->allHaveVersion(ConfigVersion(3)); };
  CHECK(fleet->runUntil(done, seconds(60)) < seconds(11));
  CHECK(fleet->configurationReverts() == 0);
}

TEST_CASE("conflicting contents of one version converge on all nodes and are reported") {
  const InProcessFleetSettings settings = nineNodes();
  auto fleet = settledFleet(settings);
  fleet->setReplica("zone-1", documentOf(changedConfiguration(settings, 2, 0)));
  fleet->setReplica("zone-2", documentOf(changedConfiguration(settings, 2, 1)));
  fleet->run(seconds(15));
  std::uint64_t conflicts = 0;
  for (std::size_t index = 0; index < fleet->size(); ++index) {
    CHECK(fleet->node(index)->configuration().id() == fleet->node(0)->configuration().id());
    conflicts += fleet->node(index)->clusterStatus().configuration_conflicts;
  }
  CHECK(conflicts > 0);
  CHECK(fleet->configurationReverts() == 0);
}

TEST_CASE("configuration too large for one message is fetched by buckets") {
  InProcessFleetSettings settings;
  settings.nodes = 4;
  settings.backends = 2000;
  settings.services = 300;
  auto fleet = std::make_unique<InProcessFleet>(settings);
  fleet->setPlatformReachable("zone-1", false);
  fleet->startAll();
  const auto done = [&] { return fleet->allHaveVersion(ConfigVersion(1)); };
  CHECK(fleet->runUntil(done, seconds(60)) < seconds(20));
  for (std::size_t index = 0; index < fleet->size(); ++index) {
    CHECK(fleet->counters(index).max_message_bytes < kMaxPeerMessageBytes);
  }
  // A change of one backend is sent as a delta.
  const std::uint64_t before = fleet->counters(1).max_message_bytes;
  fleet->setReplica("zone-2", documentOf(changedConfiguration(settings, 2, 7)));
  fleet->run(seconds(5));
  CHECK(fleet->allHaveVersion(ConfigVersion(2)));
  CHECK(fleet->counters(1).max_message_bytes == before);
}

}  // namespace
}  // namespace lugfork
