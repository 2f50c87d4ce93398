/** Each check of the soak is seen to fail on clients and servers that break its promise. */

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
  MonitorHarness() { monitor.onAsked(1, "a"); }
  bool broke(Promise promise) const {
    return monitor.breaches().size() == 1 && monitor.breaches()[0].promise == promise;
  }
  PromiseMonitor monitor{PromiseBounds()};
};

TEST_CASE("what is as it should be breaks nothing", "[soak_monitor]") {
  MonitorHarness harness;
  PromiseMonitor& monitor = harness.monitor;
  monitor.onRun(1, "a", "s1");
  monitor.onAnswer(1, 1);
  monitor.onLeaving("s1", kStart);
  monitor.onOpening("s1", "a", kRoute, kStart, kStart + seconds(1));
  monitor.onRouteMoved(kRoute, "b", kStart);
  monitor.onOpening("s2", "b", kRoute, kStart + seconds(9), kStart + seconds(9));
  CHECK(monitor.latestOpeningAfterDrain() == seconds(1));
  monitor.onPlannedStop("n", 0, seconds(5));
  monitor.onConnections(100, 0);
  monitor.onQuietTime(100, 100);
  monitor.onFlowsInCut(100, 75);
  CHECK(monitor.fewestOpenedInCut() == 75);
  CHECK(monitor.breaches().empty());
}

TEST_CASE("each broken promise is found", "[soak_monitor]") {
  MonitorHarness harness;
  PromiseMonitor& monitor = harness.monitor;
  SECTION("another request's answer") {
    monitor.onAnswer(1, 2);
    CHECK(harness.broke(Promise::OwnAnswer));
  }
  SECTION("a request that nobody asked") {
    monitor.onRun(2, "a", "s1");
    CHECK(harness.broke(Promise::AskedRequestsOnly));
  }
  SECTION("a second run") {
    monitor.onRun(1, "a", "s1");
    monitor.onRun(1, "a", "s2");
    CHECK(harness.broke(Promise::AtMostOnce));
  }
  SECTION("another service") {
    monitor.onRun(1, "b", "s1");
    CHECK(harness.broke(Promise::OwnService));
  }
  SECTION("a reset of a living server's flow") {
    monitor.onForeignReset("flow", "s1", kBalancer, kStart);
    CHECK(harness.broke(Promise::LivingFlowsHold));
  }
  SECTION("a reset of a flow inside a zone that is cut off") {
    monitor.setInOneZone([](Endpoint, const std::string& server) { return server == "s1"; });
    monitor.onZoneCut(kStart + seconds(5));
    monitor.onForeignReset("flow", "s1", kBalancer, kStart + seconds(2));
    CHECK(harness.broke(Promise::LivingFlowsHold));
  }
  SECTION("a reset of a flow to another zone long after a cut") {
    monitor.setInOneZone([](Endpoint, const std::string& server) { return server == "s1"; });
    monitor.onZoneCut(kStart + seconds(5));
    monitor.onForeignReset("flow", "s2", kBalancer, kStart + seconds(10));
    CHECK(harness.broke(Promise::LivingFlowsHold));
  }
  SECTION("new flows to servers that are cut off") {
    monitor.onFlowsInCut(100, 74);
    CHECK(harness.broke(Promise::NewFlowsAvoidCutServers));
  }
  SECTION("no flow in a cut") {
    monitor.onFlowsInCut(0, 0);
    CHECK(harness.broke(Promise::NewFlowsAvoidCutServers));
  }
  SECTION("a new flow on a leaving server") {
    monitor.onLeaving("s1", kStart);
    monitor.onOpening("s1", "a", kRoute, kStart + seconds(5), kStart + seconds(5));
    CHECK(harness.broke(Promise::LeavingServersGetNothingNew));
  }
  SECTION("an old configuration") {
    monitor.onRouteMoved(kRoute, "b", kStart);
    monitor.onOpening("s1", "a", kRoute, kStart + seconds(5), kStart + seconds(5));
    CHECK(harness.broke(Promise::ConfigurationInForce));
  }
  SECTION("a planned stop that ends badly") {
    monitor.onPlannedStop("n", -1, seconds(1));
    CHECK(harness.broke(Promise::PlannedStopEndsWell));
  }
  SECTION("a planned stop that does not end") {
    monitor.onPlannedStop("n", 0, seconds(8));
    CHECK(harness.broke(Promise::PlannedStopEndsInTime));
  }
  SECTION("an answer that is cut short") {
    monitor.onConnections(100, 1);
    CHECK(harness.broke(Promise::AnswersAreWhole));
  }
  SECTION("connections on which nothing was answered") {
    monitor.onConnections(0, 0);
    CHECK(harness.broke(Promise::AnswersAreWhole));
  }
  SECTION("no service after all faults") {
    monitor.onQuietTime(100, 24);
    CHECK(harness.broke(Promise::ServesAgain));
  }
}

TEST_CASE("bounds in time are judged only where nothing was disturbed", "[soak_monitor]") {
  MonitorHarness harness;
  PromiseMonitor& monitor = harness.monitor;
  monitor.onDisturbed(kStart);
  monitor.onLeaving("s1", kStart + seconds(1));
  monitor.onOpening("s1", "a", kRoute, kStart + seconds(7), kStart + seconds(7));
  monitor.onForeignReset("flow", "s2", kBalancer, kStart + seconds(3));
  monitor.onServerDisturbed("s3", kStart + seconds(18));
  monitor.onForeignReset("flow", "s3", kBalancer, kStart + seconds(20));
  CHECK(monitor.breaches().empty());
}

TEST_CASE("a reset between two zones breaks nothing while they are cut off", "[soak_monitor]") {
  MonitorHarness harness;
  PromiseMonitor& monitor = harness.monitor;
  monitor.setInOneZone([](Endpoint, const std::string&) { return false; });
  monitor.onZoneCut(kStart + seconds(5));
  monitor.onForeignReset("flow", "s1", kBalancer, kStart + seconds(2));
  CHECK(monitor.breaches().empty());
}

TEST_CASE("one seed gives one plan of faults, another seed another", "[soak_monitor]") {
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
