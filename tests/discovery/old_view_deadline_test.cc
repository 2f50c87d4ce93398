/**
 * Guards against new flows to a draining backend: a SYN was forwarded to it 5,212 ms after the
 * drain had been acknowledged, where 5,000 ms are allowed.
 *
 * Watchers saturate their links with a large configuration, so no upstream answers the followers
 * while ten backends start to drain. A follower waits for its polls, then for its turn to probe the
 * store, then for the delay after a failure. Each wait was bounded but their sum was not: the turn
 * was counted from the poll that found the upstreams silent instead of from the view's age, and was
 * evaluated between polls only.
 *
 * Log events of the failure, all at one balancer while the store answered others within
 * milliseconds: `platform_lost` (`no_answer`) with `age_ms` 3,202, `upstream_changed` to `store`
 * with `age_ms` 6,065, `flow_placed` with `view_age_ms` 5,825.
 */

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "discovery/fake_peers.h"
#include "discovery/upstream_source.h"
#include "discovery/view_follower.h"

namespace lugfork {
namespace {

const std::string kPrefix;
constexpr std::uint32_t kFleet = 98;
/** Time within which a change must be in force everywhere, and the part for the store's answer. */
constexpr Duration kInForceWithin = seconds(5);
constexpr Duration kStoreAnswer = milliseconds(400);

UpstreamSourceSettings settings() {
  UpstreamSourceSettings settings;
  settings.probes.budget.max_propagation_delay = kInForceWithin;
  return settings;
}

std::vector<PeerInfo> fleet() {
  std::vector<PeerInfo> balancers;
  for (std::uint32_t address = 1; address <= kFleet; ++address) {
    balancers.push_back({{address, 1}, 0});
  }
  return balancers;
}

/** One balancer of the fleet, with the components that decide when it probes the store. */
struct Follower : ViewFollowerHost {
  Follower(Endpoint own_address, ManualTimeSource& test_time, ManualScheduler& test_scheduler)
      : own(own_address),
        time(test_time),
        scheduler(test_scheduler),
        directory({}, {own, 0}, {}, time, *random) {
    directory.onPeersReported(fleet());
  }

  void startFromView(std::uint32_t age_ms) {
    setUpstreamAnswers(age_ms, true);
    follower.start();
    scheduler.advance(milliseconds(10));
    REQUIRE(follower.isCaughtUp());
    setUpstreamAnswers(age_ms, false);
  }

  void onItems(const std::vector<ItemChange>&) override {}
  void onComplete(ViewOrigin) override {}
  void onCaughtUp() override {}
  void onSourceLost(SourceError) override {}
  void onSourceRecovered(Duration) override {}

  bool isFollower() { return !selector.upstreams().empty(); }

  void setUpstreamAnswers(std::uint32_t age_ms, bool whole_view) {
    for (const PeerInfo& peer : fleet()) {
      peers.answersWith(peer.address, {}, 5, age_ms, whole_view);
    }
  }
  void silenceUpstreams() { peers.answers.clear(); }

  /** @return age of the view at the store probe; none if there was no probe within 10 s. */
  std::optional<Duration> ageAtStoreProbe() {
    constexpr Duration kStep = milliseconds(10);
    for (Duration waited{}; waited < seconds(10); waited += kStep) {
      if (store.hasWatch(kPrefix)) {
        return follower.age();
      }
      scheduler.advance(kStep);
    }
    return std::nullopt;
  }

  const Endpoint own;
  ManualTimeSource& time;
  ManualScheduler& scheduler;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(own.address);
  PeerDirectory directory;
  UpstreamSelector selector{{}, own, directory};
  ManualSource store;
  FakePeers peers{scheduler};
  UpstreamSource source{settings(), own, store, &peers, directory, selector, scheduler, time};
  ViewFollower follower{kPrefix, {}, source, scheduler, time, *random, *this};
};

/** @return the maximum age in the fleet of a follower's view when it probes the store. */
Duration maxAgeAtStoreProbe(std::uint32_t upstream_age_ms) {
  ManualTimeSource time;
  Duration max_age{};
  for (const PeerInfo& peer : fleet()) {
    ManualScheduler scheduler(time);
    Follower balancer(peer.address, time, scheduler);
    if (!balancer.isFollower()) {
      continue;
    }
    balancer.startFromView(upstream_age_ms);
    scheduler.advance(seconds(4));
    REQUIRE_FALSE(balancer.store.hasWatch(kPrefix));
    balancer.silenceUpstreams();
    const auto age = balancer.ageAtStoreProbe();
    REQUIRE(age.has_value());
    max_age = std::max(max_age, *age);
  }
  return max_age;
}

TEST_CASE("a follower whose upstreams become silent probes the store before its view is too old",
          "[upstream_source]") {
  const std::uint32_t upstream_age_ms = GENERATE(100, 1499);
  CAPTURE(upstream_age_ms);
  CHECK(maxAgeAtStoreProbe(upstream_age_ms) <= kInForceWithin - kStoreAnswer);
}

}  // namespace
}  // namespace lugfork
