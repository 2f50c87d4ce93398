/**
 * One fault table for each promise. Tests also check that a promise is violated without the
 * mechanism that keeps it: with a baseline router, or with the mechanism's setting disabled.
 */

#include "sim/sim_test_support.h"

namespace lugfork {

namespace {

constexpr std::uint64_t kSeeds = 2;
/** Repeated runs of an upload are rare even without the rules for tokens. */
constexpr std::uint64_t kBaselineDoubleRunSeeds = 12;

/** A fault table, run with the token router and with a router that lacks the mechanism. */
struct PromiseTable {
  const char* table;
  std::uint64_t PromiseReport::*count;
  RouterKind without_mechanism;
};

const PromiseTable kTablesWithBaseline[] = {
    {"planned_changes", &PromiseReport::broken_planned, RouterKind::MaglevTable},
    {"planned_changes", &PromiseReport::broken_planned, RouterKind::Rendezvous},
    {"planned_stops", &PromiseReport::cut_by_planned_stop, RouterKind::MaglevTable},
    {"planned_stops", &PromiseReport::cut_by_planned_stop, RouterKind::Rendezvous},
};

/** Uploads of a single piece: only the rules for tokens keep retransmissions from running twice. */
Scenario withSinglePieceUploads(Scenario scenario) {
  for (CallMix& mix : scenario.calls) {
    mix.order.request_pieces = mix.order.kind == WorkKind::Upload ? 0 : mix.order.request_pieces;
    mix.rate_per_second *= mix.order.kind == WorkKind::Upload ? 3 : 1;
  }
  return scenario;
}

/** Uploads that open just before draining.toml pauses the clients, 9 s after the start. */
Scenario withBurstBeforePause(Scenario scenario) {
  for (CallMix& mix : scenario.calls) {
    mix.burst_interval = seconds(6);
    mix.burst_size = 20;
  }
  return scenario;
}

}  // namespace

TEST_CASE("established flows survive planned changes and planned stops") {
  const Scenario scenario = test::loadScenario("radio");
  for (const PromiseTable& table : kTablesWithBaseline) {
    INFO(table.table << " against "
                     << routerKindNames()[static_cast<int>(table.without_mechanism)]);
    const auto without = test::withRouter(table.without_mechanism);
    CHECK(test::runTable(scenario, table.table, without, 1).*table.count > 0);
    const PromiseReport report = test::runTable(scenario, table.table, {}, kSeeds);
    CHECK(report.*table.count == 0);
    CHECK(report.holds());
  }
}

TEST_CASE("non-repeatable work runs at most once and work refused as not run has not run") {
  const Scenario scenario = withSinglePieceUploads(test::loadScenario("radio"));
  const auto without = test::withRouter(RouterKind::Rendezvous);
  CHECK(test::runTable(scenario, "at_most_once", without, kBaselineDoubleRunSeeds).double_runs > 0);
  const PromiseReport report = test::runTable(scenario, "at_most_once", {}, 2 * kSeeds);
  CHECK(report.double_runs == 0);
  CHECK(report.false_not_run == 0);
  CHECK(report.holds());
}

TEST_CASE("draining backend gets no new work from clients that resume late") {
  const Scenario scenario = withBurstBeforePause(test::loadScenario("radio"));
  FleetOptions without;
  without.placement_lifetime = seconds(3600);
  CHECK(test::runTable(scenario, "draining", without, kSeeds).late_work_on_draining > 0);
  const PromiseReport report = test::runTable(scenario, "draining", {}, kSeeds);
  CHECK(report.late_work_on_draining == 0);
  CHECK(report.holds());
}

TEST_CASE("answers are complete, not mixed up, and no work reaches another service") {
  const Scenario radio = test::loadScenario("radio");
  const PromiseReport report = test::runTable(radio, "crossed_answers", {}, kSeeds);
  CHECK(report.crossed_answers == 0);
  CHECK(report.misdelivered == 0);
  CHECK(report.holds());
}

TEST_CASE("configuration is in force on all nodes within 5 s and never reverts") {
  const Scenario scenario = test::loadScenario("radio");
  // Seed 2 and seven others of the first 40 revert to an older version if a restarted node doesn't
  // wait for the version of its peers first.
  const PromiseReport report = test::runTable(scenario, "configuration", {}, 4 * kSeeds);
  CHECK(report.config_reverts == 0);
  CHECK(report.config_spread_ms_max <= 5000);
  CHECK(report.holds());
}

TEST_CASE("withdrawn zone gets no work") {
  const Scenario scenario = test::loadScenario("radio");
  const PromiseReport report = test::runTable(scenario, "zones", {}, kSeeds);
  CHECK(report.zone_violations == 0);
}

}  // namespace lugfork
