/** Each check of the soak fails on observations that violate its promise. */

#include "platform/soak/promise_monitor.h"

#include <catch2/catch.hpp>

#include "platform/soak/fault_plan.h"

namespace lugfork::soak {
namespace {

using std::chrono::seconds;

const Endpoint kRoute{0xc6120001, 8443};
const Endpoint kBalancer{0x7f000001, 443};
const SoakTime kStart = SoakTime(seconds(1000));

struct MonitorHarness {
  MonitorHarness() { monitor.onRequestSent(1, "a"); }
  bool violates(Promise promise) const {
    return monitor.violations().size() == 1 && monitor.violations()[0].promise == promise;
  }
  PromiseMonitor monitor{PromiseBounds()};
};

TEST_CASE("correct behaviour violates no promise", "[soak_monitor]") {
  MonitorHarness harness;
  PromiseMonitor& monitor = harness.monitor;
  monitor.onRun(1, "a", "s1");
  monitor.onAnswer(1, 1);
  monitor.onDraining("s1", kStart);
  monitor.onOpening("s1", "a", kRoute, kStart, kStart + seconds(1));
  monitor.onRouteMoved(kRoute, "b", kStart);
  monitor.onOpening("s2", "b", kRoute, kStart + seconds(9), kStart + seconds(9));
  CHECK(monitor.maxOpeningDelayAfterDrain() == seconds(1));
  monitor.onPlannedStop("n", 0, seconds(5));
  monitor.onConnections(100, 0);
  monitor.onRecoveryPeriod(100, 100);
  monitor.onFlowsInPartition(100, 75);
  CHECK(monitor.minOpenedPercent() == 75);
  CHECK(monitor.violations().empty());
}

TEST_CASE("each violation of a promise is detected", "[soak_monitor]") {
  MonitorHarness harness;
  PromiseMonitor& monitor = harness.monitor;
  SECTION("answer to another request") {
    monitor.onAnswer(1, 2);
    CHECK(harness.violates(Promise::AnswerMatchesRequest));
  }
  SECTION("run of a request that no client sent") {
    monitor.onRun(2, "a", "s1");
    CHECK(harness.violates(Promise::OnlySentRequestsRun));
  }
  SECTION("second run of a request") {
    monitor.onRun(1, "a", "s1");
    monitor.onRun(1, "a", "s2");
    CHECK(harness.violates(Promise::AtMostOnce));
  }
  SECTION("run at another service") {
    monitor.onRun(1, "b", "s1");
    CHECK(harness.violates(Promise::RequestRunsAtItsService));
  }
  SECTION("reset of a live backend's flow") {
    monitor.onForeignReset("flow", "s1", kBalancer, kStart);
    CHECK(harness.violates(Promise::FlowsOfLiveBackendsSurvive));
  }
  SECTION("reset of a flow within a partitioned zone") {
    monitor.setInOneZone([](Endpoint, const std::string& backend) { return backend == "s1"; });
    monitor.onZonePartition(kStart + seconds(5));
    monitor.onForeignReset("flow", "s1", kBalancer, kStart + seconds(2));
    CHECK(harness.violates(Promise::FlowsOfLiveBackendsSurvive));
  }
  SECTION("reset of a flow to another zone long after a partition") {
    monitor.setInOneZone([](Endpoint, const std::string& backend) { return backend == "s1"; });
    monitor.onZonePartition(kStart + seconds(5));
    monitor.onForeignReset("flow", "s2", kBalancer, kStart + seconds(10));
    CHECK(harness.violates(Promise::FlowsOfLiveBackendsSurvive));
  }
  SECTION("too few new flows opened during a partition") {
    monitor.onFlowsInPartition(100, 74);
    CHECK(harness.violates(Promise::NewFlowsAvoidUnreachableBackends));
  }
  SECTION("no flow started during a partition") {
    monitor.onFlowsInPartition(0, 0);
    CHECK(harness.violates(Promise::NewFlowsAvoidUnreachableBackends));
  }
  SECTION("new flow at a draining backend") {
    monitor.onDraining("s1", kStart);
    monitor.onOpening("s1", "a", kRoute, kStart + seconds(5), kStart + seconds(5));
    CHECK(harness.violates(Promise::DrainingBackendsGetNoNewFlows));
  }
  SECTION("flow opened by an outdated configuration") {
    monitor.onRouteMoved(kRoute, "b", kStart);
    monitor.onOpening("s1", "a", kRoute, kStart + seconds(5), kStart + seconds(5));
    CHECK(harness.violates(Promise::ConfigurationTakesEffect));
  }
  SECTION("planned stop with an exit code other than 0") {
    monitor.onPlannedStop("n", -1, seconds(1));
    CHECK(harness.violates(Promise::PlannedStopExitsCleanly));
  }
  SECTION("planned stop that exceeds its bound") {
    monitor.onPlannedStop("n", 0, seconds(8));
    CHECK(harness.violates(Promise::PlannedStopEndsInTime));
  }
  SECTION("truncated answer") {
    monitor.onConnections(100, 1);
    CHECK(harness.violates(Promise::AnswersAreComplete));
  }
  SECTION("connections without any answer") {
    monitor.onConnections(0, 0);
    CHECK(harness.violates(Promise::AnswersAreComplete));
  }
  SECTION("too few requests served after all faults") {
    monitor.onRecoveryPeriod(100, 24);
    CHECK(harness.violates(Promise::ServiceRecovers));
  }
}

TEST_CASE("time bounds are not checked during and shortly after a disturbance", "[soak_monitor]") {
  MonitorHarness harness;
  PromiseMonitor& monitor = harness.monitor;
  monitor.onDisturbed(kStart);
  monitor.onDraining("s1", kStart + seconds(1));
  monitor.onOpening("s1", "a", kRoute, kStart + seconds(7), kStart + seconds(7));
  monitor.onForeignReset("flow", "s2", kBalancer, kStart + seconds(3));
  monitor.onBackendDisturbed("s3", kStart + seconds(18));
  monitor.onForeignReset("flow", "s3", kBalancer, kStart + seconds(20));
  CHECK(monitor.violations().empty());
}

TEST_CASE("reset between two partitioned zones violates no promise", "[soak_monitor]") {
  MonitorHarness harness;
  PromiseMonitor& monitor = harness.monitor;
  monitor.setInOneZone([](Endpoint, const std::string&) { return false; });
  monitor.onZonePartition(kStart + seconds(5));
  monitor.onForeignReset("flow", "s1", kBalancer, kStart + seconds(2));
  CHECK(monitor.violations().empty());
}

TEST_CASE("same seed draws the same fault plan, another seed a different one", "[soak_monitor]") {
  const auto plan = [](std::uint64_t seed) {
    std::string text;
    for (const Fault& fault : drawFaults(seed, seconds(60))) {
      text += std::string(toString(fault.kind)) + std::to_string(fault.at.count()) + ":" +
              std::to_string(fault.duration.count()) + ":" + std::to_string(fault.target) + " ";
    }
    return text;
  };
  CHECK(plan(7) == plan(7));
  CHECK(plan(7) != plan(8));
}

}  // namespace
}  // namespace lugfork::soak
