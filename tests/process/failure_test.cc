#include <catch2/catch.hpp>
#include <set>

#include "process/fleet.h"

/** The promises under failure, on what callers and back ends of a real fleet recorded. */
namespace lugfork::test {
namespace {

/** After this long a drain that every node knows must keep all new work away. */
constexpr std::uint64_t kDrainLimitMilliseconds = 5000;

void sleepFor(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::uint64_t nowMilliseconds() {
  return toUnixMilliseconds(RealTimeSource().systemTime());
}

void checkAllWhole(const Fleet& fleet, Process& caller, int calls) {
  const CallerReport report = Fleet::finish(caller);
  const json& summary = report.summary;
  INFO(summary.dump());
  INFO((report.exit_code == 0 ? std::string() : fleet.logs()));
  CHECK(summary["results"] == json({{"whole", calls}}));
  CHECK(summary["broken"] == 0);
  CHECK(summary["wrong_pieces"] == 0);
  CHECK(summary["not_ended"] == 0);
  CHECK(summary["served_by_more_than_one_backend"] == 0);
  CHECK(report.exit_code == 0);
}

/** Every upload ran once on one back end, and each service's work stayed with its back ends. */
void checkUploadsRanOnce(const Fleet& fleet, std::size_t uploads) {
  std::multiset<std::string> flows;
  for (int index = Fleet::kListenBackends; index < Fleet::kBackends; ++index) {
    for (const json& run : fleet.runs(index)) {
      CHECK_FALSE(run["may_repeat"].get<bool>());
      flows.insert(run["flow"].get<std::string>());
    }
  }
  CHECK(flows.size() == uploads);
  CHECK(std::set<std::string>(flows.begin(), flows.end()).size() == uploads);
  for (int index = 0; index < Fleet::kListenBackends; ++index) {
    for (const json& run : fleet.runs(index)) {
      CHECK(run["may_repeat"].get<bool>());
    }
  }
}

/** Streams and uploads run while something happens to the fleet; none may break or run twice. */
void checkNothingBreaks(const std::function<void(Fleet&)>& failure, int stream_pieces = 60) {
  constexpr int kStreams = 30;
  constexpr int kUploads = 20;
  Fleet fleet;
  const auto streams = fleet.startStreams(kStreams, stream_pieces);
  const auto uploads = fleet.startUploads(kUploads, 200);
  sleepFor(1000);
  failure(fleet);
  checkAllWhole(fleet, *streams, kStreams);
  checkAllWhole(fleet, *uploads, kUploads);
  checkUploadsRanOnce(fleet, kUploads);
}

TEST_CASE("killing a balancer breaks no flow") {
  checkNothingBreaks([](Fleet& fleet) {
    fleet.balancer(0).signal(SIGKILL);
    fleet.balancer(0).wait();
  });
}

TEST_CASE("freezing a balancer and waking it late breaks no flow") {
  checkNothingBreaks([](Fleet& fleet) {
    fleet.balancer(0).signal(SIGSTOP);
    sleepFor(3000);
    fleet.balancer(0).signal(SIGCONT);
    fleet.waitReady(0);
  });
}

TEST_CASE("killing and restarting a balancer breaks no flow") {
  checkNothingBreaks([](Fleet& fleet) {
    fleet.balancer(1).signal(SIGKILL);
    fleet.balancer(1).wait();
    fleet.startBalancer(1);
    fleet.waitReady(1);
  });
}

TEST_CASE(
    "a balancer that restarts while the platform is down learns what is in force from peers") {
  checkNothingBreaks([](Fleet& fleet) {
    CHECK(fleet.publish() == 0);
    fleet.controlPlatform({{"outage", true}});
    fleet.balancer(2).signal(SIGTERM);
    CHECK(fleet.balancer(2).wait() == 0);
    fleet.startBalancer(2);
    fleet.waitReady(2);
    CHECK(fleet.versionInForce(2) == 2);
    fleet.controlPlatform({{"outage", false}});
  });
}

TEST_CASE("a drained back end gets nothing new and ends what it has") {
  std::uint64_t drained_at_ms = 0;
  Fleet fleet;
  const auto streams = fleet.startStreams(30, 80);
  fleet.waitFor("a stream at the first back end", [&] { return !fleet.runs(0).empty(); });
  fleet.document()["backends"][0]["draining"] = true;
  REQUIRE(fleet.publish() == 0);
  drained_at_ms = nowMilliseconds();
  const auto late_calls = fleet.startPreChecks(60, 100);
  checkAllWhole(fleet, *streams, 30);
  checkAllWhole(fleet, *late_calls, 60);
  std::size_t before = 0;
  for (const json& run : fleet.runs(0)) {
    const auto admitted_at_ms = run["admitted_at_ms"].get<std::uint64_t>();
    INFO("admitted " << admitted_at_ms << ", drained " << drained_at_ms);
    CHECK(admitted_at_ms <= drained_at_ms + kDrainLimitMilliseconds);
    before += admitted_at_ms <= drained_at_ms ? 1 : 0;
  }
  CHECK(before > 0);
}

TEST_CASE("a balancer with the keys of another fleet is refused by its peers") {
  Fleet fleet;
  fleet.balancer(2).signal(SIGTERM);
  CHECK(fleet.balancer(2).wait() == 0);
  CHECK(fleet.metric(0, "lugfork_peers_refused_total") == 0);
  fleet.startStranger(2);
  fleet.waitFor("a refused peer at balancer 0",
                [&] { return fleet.metric(0, "lugfork_peers_refused_total") > 0; });
}

TEST_CASE("a rolling restart of all balancers breaks no flow") {
  checkNothingBreaks(
      [](Fleet& fleet) {
        for (int index = 0; index < Fleet::kBalancers; ++index) {
          fleet.balancer(index).signal(SIGTERM);
          CHECK(fleet.balancer(index).wait() == 0);
          fleet.startBalancer(index);
          fleet.waitReady(index);
        }
      },
      150);
}

TEST_CASE("rotating the token key in three versions breaks no flow") {
  Fleet fleet;
  const auto before = fleet.startStreams(20, 40);
  sleepFor(1000);
  json& keys = fleet.document()["keys"];
  keys.push_back({{"id", 2}, {"seals", false}, {"secret", std::string(64, 'b')}});
  CHECK(fleet.publish() == 0);
  keys[0]["seals"] = false;
  keys[1]["seals"] = true;
  CHECK(fleet.publish() == 0);
  const auto after = fleet.startPreChecks(100, 50);
  checkAllWhole(fleet, *before, 20);
  // The flows that the first key sealed have ended: it may go while others run.
  keys.erase(0);
  CHECK(fleet.publish() == 0);
  checkAllWhole(fleet, *after, 100);
}

TEST_CASE("one caller's flow goes through balancers of several zones to one back end") {
  Fleet fleet;
  const auto streams = fleet.startStreams(10, 20);
  checkAllWhole(fleet, *streams, 10);
  // A flow that was refused as not run goes on under its next attempt, perhaps elsewhere.
  std::map<std::string, int> backends_of_attempt;
  std::size_t through_several = 0;
  for (int index = 0; index < Fleet::kBackends; ++index) {
    for (const json& record : fleet.flows(index)) {
      ++backends_of_attempt[record["flow"].get<std::string>() + "/" + record["attempt"].dump()];
      through_several += record["balancers"].size() > 1 ? 1 : 0;
    }
  }
  CHECK(through_several > 0);
  for (const auto& [attempt, backends] : backends_of_attempt) {
    INFO(attempt);
    CHECK(backends == 1);
  }
}

}  // namespace
}  // namespace lugfork::test
