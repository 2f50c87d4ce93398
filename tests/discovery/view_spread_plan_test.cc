#include "discovery/view_spread_plan.h"

#include <catch2/catch.hpp>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr std::uint64_t kFastLink = 25'000'000;
constexpr std::size_t kCopyBytes = 400'000;
const LinkClass kFastClass = linkClassOf(200);
const LinkClass kSlowClass = linkClassOf(20);

Endpoint balancer(std::uint32_t number) {
  return {number, 1};
}

struct PlanHarness {
  ManualTimeSource time;
  ViewSpreadPlan plan{{}, kFastLink, time};

  Endpoint assignSender(std::uint32_t number, LinkClass link) {
    return plan.assignSender(PeerInfo(balancer(number), link), kCopyBytes);
  }
};

TEST_CASE("the first copy is sent by the balancer that has the view", "[view_spread_plan]") {
  PlanHarness harness;
  CHECK_FALSE(harness.assignSender(1, kSlowClass).isSet());
}

TEST_CASE("copies come from the sender that is free first; fast links carry most of them",
          "[view_spread_plan]") {
  PlanHarness harness;
  std::map<Endpoint, int> copies;
  for (std::uint32_t number = 1; number <= 330; ++number) {
    const LinkClass link = number <= 17 ? kFastClass : kSlowClass;
    const Endpoint sender = harness.assignSender(number, link);
    CHECK(sender.address < number);
    ++copies[sender];
  }
  int copies_from_fast = 0;
  for (const auto& [sender, count] : copies) {
    copies_from_fast += sender.address <= 17 ? count : 0;
    // Seventeen peers with fast links and this balancer share 330 copies.
    CHECK(count <= 2 * 330 / 18);
  }
  CHECK(copies_from_fast > 250);
}

TEST_CASE("a repeated request is served by this balancer and its previous sender is not used again",
          "[view_spread_plan]") {
  PlanHarness harness;
  std::uint32_t number = 1;
  Endpoint sender;
  while (!sender.isSet()) {
    REQUIRE(number < 100);
    sender = harness.assignSender(number++, kFastClass);
  }
  CHECK_FALSE(harness.assignSender(number - 1, kFastClass).isSet());
  for (std::uint32_t other = 200; other < 300; ++other) {
    CHECK(harness.assignSender(other, kSlowClass) != sender);
  }
}

TEST_CASE("senders expire after their time to live", "[view_spread_plan]") {
  PlanHarness harness;
  for (std::uint32_t number = 1; number <= 50; ++number) {
    harness.assignSender(number, kSlowClass);
  }
  CHECK(harness.plan.senders() == 50);
  harness.time.elapsed += seconds(3);
  CHECK_FALSE(harness.assignSender(60, kSlowClass).isSet());
  CHECK(harness.plan.senders() == 1);
}

}  // namespace
}  // namespace lugfork
