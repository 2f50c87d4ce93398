#include "load/ingress_replay.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

/** Flows a second that a node with 0.038 of a core can just not serve. */
constexpr double kCapacity = 190;
/** What 4 MiB hold of small datagrams. */
constexpr std::size_t kFourMebibytes = 5400;
/** Time from a node's start to its first view. */
constexpr Duration kFirstView = milliseconds(450);

IngressLoad loadOf(double share, Duration first_view = Duration()) {
  IngressLoad load;
  load.openings = share * kCapacity;
  load.first_view = first_view;
  return load;
}

IngressResult inOrder(IngressLoad load, std::size_t socket_holds) {
  load.way = IngressWay::InOrder;
  load.socket_holds = socket_holds;
  return IngressReplay(load).run();
}

/** @return share of all flows that were served in time. */
double inTime(const IngressResult& result) {
  return static_cast<double>(result.in_time) / (result.in_time + result.late + result.never);
}

TEST_CASE("a node that keeps up serves all flows in time", "[ingress_replay]") {
  IngressResult chosen = IngressReplay(loadOf(0.9)).run();
  CHECK(inTime(chosen) == 1);
  CHECK(chosen.in_vain == 0);
  CHECK(chosen.waitOfOpenFlows(990) < milliseconds(50));
}

TEST_CASE("a node with half more than it can serve serves what it can in time",
          "[ingress_replay]") {
  const IngressLoad load = loadOf(1.5);
  IngressResult chosen = IngressReplay(load).run();
  IngressResult bounded = inOrder(load, load.socket_holds);
  IngressResult unbounded = inOrder(load, kFourMebibytes);
  CHECK(inTime(chosen) > 0.6);
  CHECK(chosen.in_vain == 0);
  CHECK(chosen.lost == 0);
  CHECK(chosen.waitOfOpenFlows(990) < milliseconds(100));
  // In the order of arrival all that is handled is old, and part of it in vain.
  CHECK(inTime(bounded) < 0.1);
  CHECK(bounded.waitOfOpenFlows(500) > milliseconds(300));
  CHECK(inTime(unbounded) < 0.1);
  CHECK(unbounded.waitOfOpenFlows(500) > seconds(1));
}

TEST_CASE("three times its capacity costs a node little of what it serves", "[ingress_replay]") {
  const IngressResult full = IngressReplay(loadOf(1.0)).run();
  const IngressResult crowded = IngressReplay(loadOf(3.0)).run();
  CHECK(crowded.in_time > 0.85 * full.in_time);
}

TEST_CASE("after an outage callers who can still be served in time come first",
          "[ingress_replay]") {
  const IngressLoad load = loadOf(0.9, kFirstView);
  const IngressResult chosen = IngressReplay(load).run();
  CHECK(inTime(chosen) > 0.75);
  CHECK(chosen.in_vain == 0);
  CHECK(inTime(inOrder(load, load.socket_holds)) < 0.1);
  CHECK(inTime(inOrder(load, kFourMebibytes)) < 0.1);
}

TEST_CASE("figures of the ways to read", "[.][ingress_figures]") {
  for (const double share : {0.5, 0.9, 1.05, 1.5, 3.0}) {
    for (const Duration first_view : {Duration(), kFirstView}) {
      const IngressLoad load = loadOf(share, first_view);
      for (auto result : {inOrder(load, kFourMebibytes), inOrder(load, load.socket_holds),
                          IngressReplay(load).run()}) {
        WARN(share << " " << toMilliseconds(first_view) << " ms: in time " << result.in_time
                   << ", late " << result.late << ", never " << result.never << ", in vain "
                   << result.in_vain << "; open flows wait "
                   << toMilliseconds(result.waitOfOpenFlows(500)) << "/"
                   << toMilliseconds(result.waitOfOpenFlows(990)) << " ms");
      }
    }
  }
}

}  // namespace
}  // namespace lugfork
