#include "cluster/load_spread.h"

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

constexpr ObservationAudience kAudience{1000, 100};

TEST_CASE("a change of state goes before a change of load, and load before a refresh") {
  ManualTimeSource clock;
  LoadSpread spread(LoadSpreadSettings(), clock);
  for (std::uint32_t backend = 1; backend <= 3; ++backend) {
    spread.onObservation(observationOf(backend, 1000000, 100));
  }
  while (!spread.take(ObservationScope::All, 1000, kAudience).empty()) {
  }
  clock.now += seconds(2);
  spread.onObservation(observationOf(1, 1002000, 101));
  spread.onObservation(observationOf(2, 1002000, 200));
  BackendObservation unreachable = observationOf(3, 1002000, 0);
  unreachable.report.reachable = false;
  spread.onObservation(unreachable);
  const auto taken = spread.take(ObservationScope::All, 1000, kAudience);
  REQUIRE(taken.size() == 3);
  CHECK(taken[0].report.backend == BackendId(3));
  CHECK(taken[1].report.backend == BackendId(2));
  CHECK(taken[2].report.backend == BackendId(1));
  CHECK(spread.take(ObservationScope::StateChanges, 1000, kAudience).size() == 1);
  CHECK(spread.take(ObservationScope::All, 2 * LoadSpread::kObservationBytes, kAudience).size() ==
        2);
}

TEST_CASE("the back end's own word stands against later reports until it has restarted") {
  ManualTimeSource clock;
  LoadSpread spread(LoadSpreadSettings(), clock);
  spread.onObservation(observationOf(1, 990000, 100));
  CHECK(spread.onOwnWord(BackendId(1)));
  CHECK_FALSE(spread.onOwnWord(BackendId(1)));
  clock.now += seconds(1);
  // The load endpoint lags and still says that nothing is draining.
  spread.onObservation(observationOf(1, 1001000, 100));
  CHECK(spread.find(BackendId(1))->own_word);
  clock.now += seconds(10);
  BackendObservation restarted = observationOf(1, 1011000, 0);
  restarted.report.uptime_ms = 100;
  spread.onObservation(restarted);
  CHECK_FALSE(spread.find(BackendId(1))->own_word);
}

TEST_CASE("an older report and a repeated one are no news") {
  ManualTimeSource clock;
  LoadSpread spread(LoadSpreadSettings(), clock);
  CHECK(spread.onObservation(observationOf(1, 1000000, 100)));
  CHECK_FALSE(spread.onObservation(observationOf(1, 1000000, 100)));
  CHECK_FALSE(spread.onObservation(observationOf(1, 999000, 300)));
}

TEST_CASE("at today's size every node knows the load of every back end as of seconds ago") {
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

TEST_CASE("a drain that one prober sees is known everywhere within seconds") {
  InProcessFleetSettings settings;
  settings.nodes = 30;
  auto fleet = settledFleet(settings);
  const Backend backend = InProcessFleet::makeConfiguration(settings).backends[4];
  fleet->setDraining(backend.id);
  const auto known = [&] { return fleet->allExclude(backend); };
  CHECK(fleet->runUntil(known, seconds(30)) < seconds(5));
}

TEST_CASE("a node that joins after the gossip about a drain has ended knows of it too") {
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
