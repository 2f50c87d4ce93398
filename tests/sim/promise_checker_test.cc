#include "sim/promise_checker.h"

#include <catch2/catch.hpp>

namespace lugfork {

namespace {

constexpr FlowId kFlow{1, 2};
constexpr FlowKey kKey{kFlow, 0};
const ServiceId kService(1);
const BackendId kBackend(7);
const ZoneId kZone(3);

MonotonicTime at(int second) {
  return MonotonicTime(seconds(1000 + second));
}

/** One upload that ran once and completed: violates no promise. */
Observations goodTrace() {
  Observations trace;
  CallRecord call;
  call.flow = kFlow;
  call.service = kService;
  call.kind = WorkKind::Upload;
  call.expected_pieces = 1;
  call.pieces = 1;
  call.started_at = at(1);
  call.ended_at = at(2);
  call.result = CallResult::Complete;
  trace.calls.push_back(call);
  trace.placements.push_back({kKey, kBackend, at(1)});
  trace.runs.push_back({kKey, WorkKind::Upload, kBackend, kService, kZone, at(1), at(1)});
  trace.node_uptimes.emplace("node", Interval{at(0), at(100)});
  trace.versions.push_back({"node", 1, at(0)});
  return trace;
}

/** A change to the good trace that violates one promise, and the count that must detect it. */
struct BrokenTrace {
  const char* name;
  void (*change)(Observations&);
  std::uint64_t PromiseReport::*count;
};

void endAs(Observations& trace, CallResult result) {
  trace.calls.front().result = result;
  trace.calls.front().pieces = 0;
}

const BrokenTrace kBrokenTraces[] = {
    {"a break without a backend outage",
     [](Observations& trace) {
       trace.calls.front().breaks.push_back({kKey, at(2)});
     },
     &PromiseReport::broken_planned},
    {"a call that never ends", [](Observations& trace) { trace.calls.front().result.reset(); },
     &PromiseReport::broken_planned},
    {"a break after an outage of another backend",
     [](Observations& trace) {
       trace.calls.front().breaks.push_back({kKey, at(2)});
       trace.unplanned_outages.emplace(BackendId(8), Interval{at(0), at(3)});
     },
     &PromiseReport::broken_planned},
    {"a break during a planned stop of a machine",
     [](Observations& trace) {
       trace.calls.front().breaks.push_back({kKey, at(2)});
       trace.planned_stops.push_back({at(1), at(2)});
     },
     &PromiseReport::cut_by_planned_stop},
    {"work at a backend of another service",
     [](Observations& trace) { trace.runs.front().service = ServiceId(2); },
     &PromiseReport::misdelivered},
    {"a piece of another call's answer",
     [](Observations& trace) { trace.calls.front().wrong_pieces = 1; },
     &PromiseReport::crossed_answers},
    {"a complete answer with a missing piece",
     [](Observations& trace) { trace.calls.front().pieces = 0; }, &PromiseReport::crossed_answers},
    {"an upload that runs under a second attempt",
     [](Observations& trace) {
       trace.runs.push_back(
           {{kFlow, 1}, WorkKind::Upload, BackendId(8), kService, kZone, at(2), at(2)});
     },
     &PromiseReport::double_runs},
    {"an attempt refused that ran",
     [](Observations& trace) {
       trace.refusals.push_back({kKey, Reason::Overloaded, false, 500, at(2)});
     },
     &PromiseReport::false_not_run},
    {"a call that ends as not run although it ran",
     [](Observations& trace) {
       endAs(trace, CallResult::NotRun);
       trace.calls.front().retry_after = seconds(1);
     },
     &PromiseReport::false_not_run},
    {"work admitted long after the start of the drain",
     [](Observations& trace) {
       trace.drains.emplace(kBackend, Interval{at(10), at(60)});
       trace.runs.front().admitted_at = at(16);
     },
     &PromiseReport::late_work_on_draining},
    {"a version that goes down across a restart",
     [](Observations& trace) {
       trace.versions.push_back({"node", 2, at(10)});
       trace.versions.push_back({"node", 1, at(20)});
     },
     &PromiseReport::config_reverts},
    {"work in a withdrawn zone",
     [](Observations& trace) {
       trace.withdrawals.push_back({kService, kZone, at(10)});
       trace.runs.front().admitted_at = at(16);
     },
     &PromiseReport::zone_violations},
    {"a refusal without a retry-after time",
     [](Observations& trace) {
       trace.refusals.push_back({{kFlow, 1}, Reason::Overloaded, false, 0, at(2)});
     },
     &PromiseReport::refused_without_retry_after},
};

}  // namespace

TEST_CASE("trace without a violated promise holds") {
  const PromiseReport report = checkPromises(goodTrace());
  CHECK(report.holds());
  CHECK(report.flows == 1);
}

TEST_CASE("each violated promise is counted and fails the report") {
  for (const BrokenTrace& broken : kBrokenTraces) {
    INFO(broken.name);
    Observations trace = goodTrace();
    broken.change(trace);
    const PromiseReport report = checkPromises(trace);
    CHECK(report.*broken.count == 1);
    CHECK_FALSE(report.holds());
  }
}

TEST_CASE("break counts as unplanned if the flow's own backend had an outage") {
  Observations trace = goodTrace();
  trace.calls.front().breaks.push_back({kKey, at(2)});
  trace.unplanned_outages.emplace(kBackend, Interval{at(1), at(2)});
  const PromiseReport report = checkPromises(trace);
  CHECK(report.broken_unplanned == 1);
  CHECK(report.holds());
}

TEST_CASE("propagation delay counts from the publication or from the end of isolation") {
  Observations trace = goodTrace();
  trace.publications.push_back({2, at(10)});
  SECTION("node that never applies the version violates the promise") {
    CHECK_FALSE(checkPromises(trace).holds());
  }
  SECTION("version that is applied too late violates the promise") {
    trace.versions.push_back({"node", 2, at(17)});
    CHECK(checkPromises(trace).config_spread_ms_max == 7000);
    CHECK_FALSE(checkPromises(trace).holds());
  }
  SECTION("delay during a cut is not counted") {
    trace.versions.push_back({"node", 2, at(17)});
    trace.isolation.push_back({at(8), at(15)});
    CHECK(checkPromises(trace).config_spread_ms_max == 2000);
    CHECK(checkPromises(trace).holds());
  }
}

TEST_CASE("imbalance is the ratio of the maximum load to the mean load") {
  Observations trace = goodTrace();
  trace.loads.push_back({kService, {4, 1, 1}});
  CHECK(checkPromises(trace).imbalance_p50 == Approx(2));
}

}  // namespace lugfork
