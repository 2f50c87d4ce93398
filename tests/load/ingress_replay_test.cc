#include "load/ingress_replay.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

/** Flow rate that just exceeds the capacity of a node with 0.038 of a core [1/s]. */
constexpr double kCapacityPerSecond = 190;
/** Number of small datagrams that 4 MiB hold. */
constexpr std::size_t kLargeSocketDatagrams = 5400;
/** Time from a node's start to its first view. */
constexpr Duration kFirstViewDelay = milliseconds(450);

IngressLoad makeLoad(double load_ratio, Duration first_view_delay = Duration()) {
  IngressLoad load;
  load.openings_per_second = load_ratio * kCapacityPerSecond;
  load.first_view_delay = first_view_delay;
  return load;
}

IngressResult runInArrivalOrder(IngressLoad load, std::size_t socket_capacity) {
  load.order = IngressOrder::ArrivalOrder;
  load.socket_capacity = socket_capacity;
  return IngressReplay(load).run();
}

/** @return fraction of all flows that were served in time. */
double inTimeFraction(const IngressResult& result) {
  return static_cast<double>(result.in_time_count) /
         (result.in_time_count + result.late_count + result.never_count);
}

TEST_CASE("node below its capacity serves all flows in time", "[ingress_replay]") {
  IngressResult open_flows_first = IngressReplay(makeLoad(0.9)).run();
  CHECK(inTimeFraction(open_flows_first) == 1);
  CHECK(open_flows_first.useless_placements == 0);
  CHECK(open_flows_first.openFlowDelay(990) < milliseconds(50));
}

TEST_CASE("node at 150% of its capacity serves a large part of the flows in time",
          "[ingress_replay]") {
  const IngressLoad load = makeLoad(1.5);
  IngressResult open_flows_first = IngressReplay(load).run();
  IngressResult small_socket = runInArrivalOrder(load, load.socket_capacity);
  IngressResult large_socket = runInArrivalOrder(load, kLargeSocketDatagrams);
  CHECK(inTimeFraction(open_flows_first) > 0.6);
  CHECK(open_flows_first.useless_placements == 0);
  CHECK(open_flows_first.lost_count == 0);
  CHECK(open_flows_first.openFlowDelay(990) < milliseconds(100));
  // In the order of arrival all packets are handled late, and some placements are useless.
  CHECK(inTimeFraction(small_socket) < 0.1);
  CHECK(small_socket.openFlowDelay(500) > milliseconds(300));
  CHECK(inTimeFraction(large_socket) < 0.1);
  CHECK(large_socket.openFlowDelay(500) > seconds(1));
}

TEST_CASE("node at 300% of its capacity serves nearly as many flows in time as at 100%",
          "[ingress_replay]") {
  const IngressResult full = IngressReplay(makeLoad(1.0)).run();
  const IngressResult overloaded = IngressReplay(makeLoad(3.0)).run();
  CHECK(overloaded.in_time_count > 0.85 * full.in_time_count);
}

TEST_CASE("after an outage clients that can still be served in time are served first",
          "[ingress_replay]") {
  const IngressLoad load = makeLoad(0.9, kFirstViewDelay);
  const IngressResult open_flows_first = IngressReplay(load).run();
  CHECK(inTimeFraction(open_flows_first) > 0.75);
  CHECK(open_flows_first.useless_placements == 0);
  CHECK(inTimeFraction(runInArrivalOrder(load, load.socket_capacity)) < 0.1);
  CHECK(inTimeFraction(runInArrivalOrder(load, kLargeSocketDatagrams)) < 0.1);
}

TEST_CASE("results of each serving order by load", "[.][ingress_figures]") {
  for (const double load_ratio : {0.5, 0.9, 1.05, 1.5, 3.0}) {
    for (const Duration first_view_delay : {Duration(), kFirstViewDelay}) {
      const IngressLoad load = makeLoad(load_ratio, first_view_delay);
      for (auto result :
           {runInArrivalOrder(load, kLargeSocketDatagrams),
            runInArrivalOrder(load, load.socket_capacity), IngressReplay(load).run()}) {
        WARN(load_ratio << " " << toMilliseconds(first_view_delay) << " ms: in time "
                        << result.in_time_count << ", late " << result.late_count << ", never "
                        << result.never_count << ", useless placements "
                        << result.useless_placements << "; open flows wait "
                        << toMilliseconds(result.openFlowDelay(500)) << "/"
                        << toMilliseconds(result.openFlowDelay(990)) << " ms");
      }
    }
  }
}

}  // namespace
}  // namespace lugfork
