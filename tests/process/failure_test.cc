#include <catch2/catch.hpp>
#include <set>

#include "process/fleet.h"

/** Promises to users during failures, checked on the records of a real fleet's clients and
 * backends. */
namespace lugfork::test {
namespace {

/** Time after which a drain that is in force at all balancers must prevent new requests. */
constexpr std::uint64_t kMaxDrainDelayMs = 5000;

void sleepFor(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::uint64_t nowMilliseconds() {
  return toUnixMilliseconds(RealTimeSource().systemTime());
}

void checkAllComplete(const Fleet& fleet, Process& client, int calls) {
  const ClientReport report = Fleet::finish(client);
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

/** Checks that each upload ran once on one backend, and each service's requests at its backends. */
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

/** Runs streams and uploads during a failure of the fleet; none may break or run twice. */
void checkNoFlowBreaks(const std::function<void(Fleet&)>& inject_failure, int stream_pieces = 60) {
  constexpr int kStreams = 30;
  constexpr int kUploads = 20;
  Fleet fleet;
  const auto streams = fleet.startStreams(kStreams, stream_pieces);
  const auto uploads = fleet.startUploads(kUploads, 200);
  sleepFor(1000);
  inject_failure(fleet);
  checkAllComplete(fleet, *streams, kStreams);
  checkAllComplete(fleet, *uploads, kUploads);
  checkUploadsRanOnce(fleet, kUploads);
}

TEST_CASE("killed balancer breaks no flow") {
  checkNoFlowBreaks([](Fleet& fleet) {
    fleet.balancer(0).signal(SIGKILL);
    fleet.balancer(0).wait();
  });
}

TEST_CASE("balancer paused for 3 s breaks no flow") {
  checkNoFlowBreaks([](Fleet& fleet) {
    fleet.balancer(0).signal(SIGSTOP);
    sleepFor(3000);
    fleet.balancer(0).signal(SIGCONT);
    fleet.waitReady(0);
  });
}

TEST_CASE("killed and restarted balancer breaks no flow") {
  checkNoFlowBreaks([](Fleet& fleet) {
    fleet.balancer(1).signal(SIGKILL);
    fleet.balancer(1).wait();
    fleet.startBalancer(1);
    fleet.waitReady(1);
  });
}

TEST_CASE(
    "balancer restarted during an outage of the platform gets the configuration in force from "
    "peers") {
  checkNoFlowBreaks([](Fleet& fleet) {
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

TEST_CASE("drained backend gets no new requests and completes the running ones") {
  std::uint64_t drained_at_ms = 0;
  Fleet fleet;
  const auto streams = fleet.startStreams(30, 80);
  fleet.waitFor("a stream at the first backend", [&] { return !fleet.runs(0).empty(); });
  fleet.document()["backends"][0]["draining"] = true;
  REQUIRE(fleet.publish() == 0);
  drained_at_ms = nowMilliseconds();
  const auto late_calls = fleet.startPreChecks(60, 100);
  checkAllComplete(fleet, *streams, 30);
  checkAllComplete(fleet, *late_calls, 60);
  std::size_t admitted_before_drain = 0;
  for (const json& run : fleet.runs(0)) {
    const auto admitted_at_ms = run["admitted_at_ms"].get<std::uint64_t>();
    INFO("admitted " << admitted_at_ms << ", drained " << drained_at_ms);
    CHECK(admitted_at_ms <= drained_at_ms + kMaxDrainDelayMs);
    admitted_before_drain += admitted_at_ms <= drained_at_ms ? 1 : 0;
  }
  CHECK(admitted_before_drain > 0);
}

TEST_CASE("balancer with the keys of another fleet is refused by its peers") {
  Fleet fleet;
  fleet.balancer(2).signal(SIGTERM);
  CHECK(fleet.balancer(2).wait() == 0);
  CHECK(fleet.metric(0, "lugfork_peers_refused_total") == 0);
  fleet.startUntrustedBalancer(2);
  fleet.waitFor("a refused peer at balancer 0",
                [&] { return fleet.metric(0, "lugfork_peers_refused_total") > 0; });
}

TEST_CASE("rolling restart of all balancers breaks no flow") {
  checkNoFlowBreaks(
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

TEST_CASE("rotation of the token key in three versions breaks no flow") {
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
  checkAllComplete(fleet, *before, 20);
  // Flows whose tokens the first key sealed have ended, so it can be removed while others run.
  keys.erase(0);
  CHECK(fleet.publish() == 0);
  checkAllComplete(fleet, *after, 100);
}

TEST_CASE("flow through balancers of several zones reaches a single backend") {
  Fleet fleet;
  const auto streams = fleet.startStreams(10, 20);
  checkAllComplete(fleet, *streams, 10);
  // A flow that was refused as not run continues as its next attempt, perhaps at another backend.
  std::map<std::string, int> backends_per_attempt;
  std::size_t through_several_balancers = 0;
  for (int index = 0; index < Fleet::kBackends; ++index) {
    for (const json& record : fleet.flows(index)) {
      ++backends_per_attempt[record["flow"].get<std::string>() + "/" + record["attempt"].dump()];
      through_several_balancers += record["balancers"].size() > 1 ? 1 : 0;
    }
  }
  CHECK(through_several_balancers > 0);
  for (const auto& [attempt, backends] : backends_per_attempt) {
    INFO(attempt);
    CHECK(backends == 1);
  }
}

}  // namespace
}  // namespace lugfork::test
