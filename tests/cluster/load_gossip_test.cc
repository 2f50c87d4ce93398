#include "cluster/load_gossip.h"

#include <catch2/catch.hpp>

#include "cluster/fleet_fixture.h"

namespace lugfork {
namespace {

class ManualTimeSource : public TimeSource {
 public:
  MonotonicTime monotonicTime() const override { return now; }
  SystemTime systemTime() const override { return SystemTime(now.time_since_epoch()); }
  MonotonicTime now{seconds(1000)};
};

BackendObservation observationOf(std::uint32_t backend, std::uint64_t at_ms,
                                 std::uint32_t connections) {
  BackendObservation observation;
  observation.report.backend = BackendId(backend);
  observation.report.reachable = true;
  observation.report.measured_at_ms = at_ms;
  observation.report.uptime_ms = 500000;
  observation.report.open_connections = connections;
  return observation;
}

constexpr ReceiverCounts kReceivers{1000, 100};

TEST_CASE("state change is sent before load change, and load change before refresh") {
  ManualTimeSource clock;
  LoadGossip gossip(LoadGossipSettings(), clock);
  for (std::uint32_t backend = 1; backend <= 3; ++backend) {
    gossip.onObservation(observationOf(backend, 1000000, 100));
  }
  while (!gossip.take(ObservationScope::All, 1000, kReceivers).empty()) {
  }
  clock.now += seconds(2);
  gossip.onObservation(observationOf(1, 1002000, 101));
  gossip.onObservation(observationOf(2, 1002000, 200));
  BackendObservation unreachable = observationOf(3, 1002000, 0);
  unreachable.report.reachable = false;
  gossip.onObservation(unreachable);
  const auto taken = gossip.take(ObservationScope::All, 1000, kReceivers);
  REQUIRE(taken.size() == 3);
  CHECK(taken[0].report.backend == BackendId(3));
  CHECK(taken[1].report.backend == BackendId(2));
  CHECK(taken[2].report.backend == BackendId(1));
  CHECK(gossip.take(ObservationScope::StateChanges, 1000, kReceivers).size() == 1);
  CHECK(gossip.take(ObservationScope::All, 2 * LoadGossip::kObservationBytes, kReceivers).size() ==
        2);
}

TEST_CASE("drain announced by the backend overrides later reports until the backend restarts") {
  ManualTimeSource clock;
  LoadGossip gossip(LoadGossipSettings(), clock);
  gossip.onObservation(observationOf(1, 990000, 100));
  CHECK(gossip.onDrainAnnounced(BackendId(1)));
  CHECK_FALSE(gossip.onDrainAnnounced(BackendId(1)));
  clock.now += seconds(1);
  // The load endpoint lags behind and does not report the drain yet.
  gossip.onObservation(observationOf(1, 1001000, 100));
  CHECK(gossip.find(BackendId(1))->self_announced);
  clock.now += seconds(10);
  BackendObservation restarted = observationOf(1, 1011000, 0);
  restarted.report.uptime_ms = 100;
  gossip.onObservation(restarted);
  CHECK_FALSE(gossip.find(BackendId(1))->self_announced);
}

TEST_CASE("older report and duplicate report are ignored") {
  ManualTimeSource clock;
  LoadGossip gossip(LoadGossipSettings(), clock);
  CHECK(gossip.onObservation(observationOf(1, 1000000, 100)));
  CHECK_FALSE(gossip.onObservation(observationOf(1, 1000000, 100)));
  CHECK_FALSE(gossip.onObservation(observationOf(1, 999000, 300)));
}

TEST_CASE("every node has load reports of all 19 backends that are less than 5 s old") {
  auto fleet = settledFleet(InProcessFleetSettings());
  fleet->run(seconds(10));
  const std::uint64_t now_ms = toUnixMilliseconds(
      SystemTime(std::chrono::hours(24 * 365 * 50) + fleet->now().time_since_epoch()));
  for (std::size_t index = 0; index < fleet->size(); ++index) {
    CHECK(fleet->node(index)->loadSpread().size() == 19);
    for (std::uint32_t backend = 1; backend <= 19; ++backend) {
      const BackendObservation* known = fleet->node(index)->loadSpread().find(BackendId(backend));
      REQUIRE(known != nullptr);
      CHECK(now_ms - known->report.measured_at_ms < 5000);
    }
  }
}

TEST_CASE("drain detected by one prober reaches all nodes within 5 s") {
  InProcessFleetSettings settings;
  settings.nodes = 30;
  auto fleet = settledFleet(settings);
  const Backend backend = InProcessFleet::makeConfiguration(settings).backends[4];
  fleet->setDraining(backend.id);
  const auto known = [&] { return fleet->allExclude(backend); };
  CHECK(fleet->runUntil(known, seconds(30)) < seconds(5));
}

TEST_CASE(
    "node that joins after the gossip about a drain has ended excludes the draining backend") {
  InProcessFleetSettings settings;
  settings.nodes = 30;
  auto fleet = settledFleet(settings);
  const Backend backend = InProcessFleet::makeConfiguration(settings).backends[4];
  fleet->setDraining(backend.id);
  fleet->run(seconds(60));
  fleet->kill(0);
  fleet->start(0);
  const auto placing = [&] { return fleet->node(0)->placementBlockedBy() == Reason::None; };
  fleet->runUntil(placing, seconds(30));
  fleet->run(seconds(2));
  CHECK_FALSE(fleet->node(0)->loads().mayPlace(backend));
}

}  // namespace
}  // namespace lugfork
