#include "discovery/view_spread_plan.h"

#include <catch2/catch.hpp>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr std::uint64_t kFastLink = 25'000'000;
constexpr std::size_t kCopyBytes = 400'000;
const LinkClass kStrong = linkClassOf(200);
const LinkClass kWeak = linkClassOf(20);

Endpoint balancer(std::uint32_t number) {
  return {number, 1};
}

struct PlanHarness {
  ManualTimeSource time;
  ViewSpreadPlan plan{{}, kFastLink, time};

  Endpoint choose(std::uint32_t number, LinkClass link) {
    return plan.choose(PeerInfo(balancer(number), link), kCopyBytes);
  }
};

TEST_CASE("the first copy is sent by who has the view", "[view_spread_plan]") {
  PlanHarness harness;
  CHECK_FALSE(harness.choose(1, kWeak).isSet());
}

TEST_CASE("a copy comes from who is free first, strong links carry most", "[view_spread_plan]") {
  PlanHarness harness;
  std::map<Endpoint, int> copies;
  for (std::uint32_t number = 1; number <= 330; ++number) {
    const LinkClass link = number <= 17 ? kStrong : kWeak;
    const Endpoint sender = harness.choose(number, link);
    CHECK(sender.address < number);
    ++copies[sender];
  }
  int by_strong = 0;
  for (const auto& [sender, count] : copies) {
    by_strong += sender.address <= 17 ? count : 0;
    // Seventeen strong links and the own one share 330 copies.
    CHECK(count <= 2 * 330 / 18);
  }
  CHECK(by_strong > 250);
}

TEST_CASE("who comes again is served here, and its sender is not named again",
          "[view_spread_plan]") {
  PlanHarness harness;
  std::uint32_t number = 1;
  Endpoint sender;
  while (!sender.isSet()) {
    REQUIRE(number < 100);
    sender = harness.choose(number++, kStrong);
  }
  CHECK_FALSE(harness.choose(number - 1, kStrong).isSet());
  for (std::uint32_t other = 200; other < 300; ++other) {
    CHECK(harness.choose(other, kWeak) != sender);
  }
}

TEST_CASE("senders are forgotten after a while", "[view_spread_plan]") {
  PlanHarness harness;
  for (std::uint32_t number = 1; number <= 50; ++number) {
    harness.choose(number, kWeak);
  }
  CHECK(harness.plan.senders() == 50);
  harness.time.elapsed += seconds(3);
  CHECK_FALSE(harness.choose(60, kWeak).isSet());
  CHECK(harness.plan.senders() == 1);
}

}  // namespace
}  // namespace lugfork
