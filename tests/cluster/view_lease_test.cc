#include "cluster/view_lease.h"

#include <catch2/catch.hpp>

#include "cluster/fleet_fixture.h"

namespace lugfork {
namespace {

InProcessFleetSettings sixNodes(bool lease_enabled) {
  InProcessFleetSettings settings;
  settings.nodes = 6;
  settings.node.lease.enabled = lease_enabled;
  return settings;
}

/**
 * Drains a backend while one node is paused.
 * @return true if that node would place flows on it after resuming.
 */
bool placesOnDrainedBackendAfterResuming(bool lease_enabled) {
  const InProcessFleetSettings settings = sixNodes(lease_enabled);
  auto fleet = settledFleet(settings);
  const Backend backend = InProcessFleet::makeConfiguration(settings).backends[0];
  fleet->pause(3);
  fleet->run(seconds(30));
  fleet->setDraining(backend.id);
  fleet->run(seconds(30));
  // A client's datagram is handled first after the pause, before any tick.
  const Node& node = *fleet->node(3);
  return node.placementBlockedBy() == Reason::None && node.loads().mayPlace(backend);
}

TEST_CASE("resumed process places no flows with its stale view") {
  CHECK_FALSE(placesOnDrainedBackendAfterResuming(true));
  // Without the lease the draining backend is used.
  CHECK(placesOnDrainedBackendAfterResuming(false));
}

TEST_CASE("resumed process has a fresh view again within 2 s") {
  auto fleet = settledFleet(sixNodes(true));
  fleet->pause(3);
  fleet->run(seconds(60));
  fleet->resume(3);
  CHECK(fleet->node(3)->placementBlockedBy() == Reason::ViewNotFresh);
  const auto placing = [&] { return fleet->node(3)->placementBlockedBy() == Reason::None; };
  CHECK(fleet->runUntil(placing, seconds(30)) <= seconds(2));
  CHECK(fleet->node(3)->clusterStatus().view == ViewState::Fresh);
}

/** Time source set by the tests. */
class ManualTimeSource : public TimeSource {
 public:
  MonotonicTime monotonicTime() const override { return now; }
  SystemTime systemTime() const override { return SystemTime(now.time_since_epoch()); }
  MonotonicTime now{seconds(100)};
};

TEST_CASE("answer buffered during a pause does not renew the lease") {
  ManualTimeSource clock;
  ViewLease lease(ViewLeaseSettings(), clock);
  const MonotonicTime requested_at = clock.now;
  clock.now += seconds(20);
  lease.onConfirmed(requested_at);
  CHECK(lease.state() == ViewState::Stale);
  CHECK(lease.onTick());
  lease.onConfirmed(clock.now);
  CHECK(lease.state() == ViewState::Fresh);
}

struct IsolationCase {
  const char* name;
  bool peers_reachable;
  bool platform_reachable;
  ViewState expected;
};

TEST_CASE("isolated node places flows after the isolation timeout and reports itself degraded") {
  const std::vector<IsolationCase> cases = {
      {"peers and platform", true, true, ViewState::Fresh},
      {"peers only", true, false, ViewState::Fresh},
      {"platform only", false, true, ViewState::Fresh},
      {"neither peers nor platform", false, false, ViewState::Degraded},
  };
  for (const IsolationCase& test : cases) {
    INFO(test.name);
    InProcessFleetSettings settings;
    settings.nodes = 3;
    auto fleet = settledFleet(settings);
    if (!test.peers_reachable) {
      fleet->cutZone("zone-1");
    }
    fleet->setPlatformReachable("zone-1", test.platform_reachable);
    fleet->run(seconds(30));
    CHECK(fleet->node(0)->clusterStatus().view == test.expected);
    CHECK(fleet->node(0)->placementBlockedBy() == Reason::None);
  }
}

struct JoinCase {
  const char* name;
  bool peers_running;
  bool platform_reachable;
  bool places;
  JoinState expected;
};

TEST_CASE("started node places flows once it has joined, or as degraded after the join timeout") {
  const std::vector<JoinCase> cases = {
      {"peers and platform", true, true, true, JoinState::Joined},
      {"peers only", true, false, true, JoinState::Joined},
      {"platform only", false, true, true, JoinState::Degraded},
      {"nothing", false, false, false, JoinState::Joining},
  };
  for (const JoinCase& test : cases) {
    INFO(test.name);
    InProcessFleetSettings settings;
    settings.nodes = 4;
    InProcessFleet fleet(settings);
    if (test.peers_running) {
      fleet.start(1);
      fleet.start(2);
      fleet.start(3);
      fleet.run(kSettleTime);
    }
    // The machine list is read before the platform becomes unreachable, the configuration isn't.
    fleet.start(0);
    CHECK(fleet.node(0)->placementBlockedBy() == Reason::Joining);
    fleet.run(milliseconds(300));
    fleet.setPlatformReachable("", test.platform_reachable);
    if (!test.platform_reachable && !test.peers_running) {
      fleet.kill(0);
      fleet.start(0);
    }
    fleet.run(seconds(20));
    CHECK(fleet.node(0)->clusterStatus().join == test.expected);
    CHECK((fleet.node(0)->placementBlockedBy() == Reason::None) == test.places);
  }
}

}  // namespace
}  // namespace lugfork
