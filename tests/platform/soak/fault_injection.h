#pragma once

#include "platform/soak/call_schedule.h"
#include "platform/soak/fault_plan.h"
#include "platform/soak/link_faults.h"
#include "platform/soak/node_fleet.h"
#include "platform/soak/packet_client.h"
#include "platform/soak/route_publisher.h"
#include "platform/soak/simulated_backend_pool.h"

namespace lugfork::soak {

/** Longest delay of a packet: the retransmission after 200 ms overtakes it. */
inline constexpr std::chrono::milliseconds kMaxPacketDelay{500};

/** Parts of a soak that faults act on. */
struct FaultTargets {
  NodeFleet& nodes;
  SimulatedBackendPool& pool;
  platform::FakeStore& store;
  RoutePublisher& routes;
  LinkFaults& links;
  ZonePartition& zone_partition;
  const std::vector<std::string>& zones;
  const PacketClient& client;
  PromiseMonitor& monitor;
  CallSchedule& schedule;
  RandomGenerator& random;
};

/** Injects planned faults into a soak, and reports to the monitor which violations they excuse. */
class FaultInjection {
 public:
  explicit FaultInjection(const FaultTargets& targets) : targets_(targets) {}

  void inject(const Fault& fault) {
    std::printf("  %s target %u for %lld ms\n", toString(fault.kind), fault.target,
                static_cast<long long>(fault.duration.count()));
    switch (fault.kind) {
      case FaultKind::KillNode:
        reportDisturbance(fault.duration);
        return killNode(fault.target, fault.duration);
      case FaultKind::KillAllNodes:
        reportDisturbance(fault.duration);
        for (std::uint32_t node = 0; node < targets_.nodes.size(); ++node) {
          killNode(node, fault.duration);
        }
        return;
      case FaultKind::PauseNode:
        reportDisturbance(fault.duration);
        return pauseNode(fault.target, fault.duration);
      case FaultKind::StopNode:
        return targets_.nodes.stop(fault.target);
      case FaultKind::ReloadNode:
        return targets_.nodes.reload(fault.target);
      case FaultKind::StoreUnavailable:
        return failStore(503, fault.duration);
      case FaultKind::StoreThrottled:
        return failStore(429, fault.duration);
      case FaultKind::StoreTruncatesResponses:
        reportDisturbance(fault.duration);
        targets_.store.truncateResponses(true);
        return targets_.schedule.after(fault.duration,
                                       [this] { targets_.store.truncateResponses(false); });
      case FaultKind::StoreCompactsHistory:
        reportDisturbance(milliseconds(0));
        return targets_.store.compactHistory();
      case FaultKind::StoreLosesItems:
        return loseItems(fault.duration);
      case FaultKind::CrashBackend:
        return targets_.pool.crash(fault.target, fault.duration);
      case FaultKind::PauseBackend:
        return targets_.pool.pause(fault.target, fault.duration);
      case FaultKind::ReplaceBackend:
        return targets_.pool.replace(fault.target);
      case FaultKind::MoveRoute:
        return targets_.routes.moveRoute();
      case FaultKind::DropPackets:
        reportDisturbance(fault.duration);
        targets_.links.drops = true;
        return targets_.schedule.after(fault.duration, [this] { targets_.links.drops = false; });
      case FaultKind::ReorderPackets:
        reportDisturbance(fault.duration + kMaxPacketDelay);
        targets_.links.reorders = true;
        return targets_.schedule.after(fault.duration, [this] { targets_.links.reorders = false; });
      case FaultKind::StopNodesInSeries:
        return runSeries(
            [this, fault](std::uint32_t step) { targets_.nodes.stop(fault.target + step); });
      case FaultKind::SignalNode:
        return signalNode(fault.target);
      case FaultKind::ReplaceBackends:
        return runSeries(
            [this, fault](std::uint32_t step) { targets_.pool.replace(fault.target + step); });
      case FaultKind::MoveRoutes:
        return runSeries([this](std::uint32_t) { targets_.routes.moveRoute(); });
      case FaultKind::IsolateZone:
        return isolateZone(fault.target, fault.duration);
      case FaultKind::LimitNodesCpu:
        return limitNodesCpu(fault.target, fault.duration);
    }
  }

 private:
  /** Number of steps of a series of planned changes, and the time between two steps. */
  static constexpr std::uint32_t kSeriesSteps = 4;
  static constexpr milliseconds kSeriesInterval{250};
  /** Time after the start of a partition from which new flows go to reachable backends only. */
  static constexpr milliseconds kPartitionDetectionTime{2500};
  /** One balancer in this many keeps its full CPU. */
  static constexpr std::uint32_t kNodesPerUnlimitedNode = 3;

  void killNode(std::uint32_t target, milliseconds duration) {
    if (targets_.nodes.kill(target)) {
      targets_.schedule.after(duration, [this, target] { targets_.nodes.restart(target); });
    }
  }

  void pauseNode(std::uint32_t target, milliseconds duration) {
    if (targets_.nodes.pause(target)) {
      targets_.schedule.after(duration, [this, target] { targets_.nodes.resume(target); });
    }
  }

  /** Runs a function several times, each before the previous step can have completed. */
  void runSeries(const std::function<void(std::uint32_t step)>& function) {
    for (std::uint32_t step = 0; step < kSeriesSteps; ++step) {
      targets_.schedule.after(step * kSeriesInterval, [function, step] { function(step); });
    }
  }

  /** Reloads the settings while the balancer is stopping, and sends the stop signal repeatedly. */
  void signalNode(std::uint32_t target) {
    runSeries([this, target](std::uint32_t step) {
      targets_.nodes.reload(target);
      if (step > 0) {
        targets_.nodes.stop(target);
      }
    });
  }

  void isolateZone(std::uint32_t target, milliseconds duration) {
    targets_.zone_partition.isolate(targets_.zones[target % targets_.zones.size()]);
    targets_.monitor.onZonePartition(SoakClock::now() + duration);
    targets_.schedule.after(
        kPartitionDetectionTime, [this, rest = duration - kPartitionDetectionTime] {
          const std::size_t started = targets_.client.flowsStarted();
          const std::size_t opened = targets_.client.flowsOpened();
          targets_.schedule.after(rest, [this, started, opened] {
            targets_.monitor.onFlowsInPartition(targets_.client.flowsStarted() - started,
                                                targets_.client.flowsOpened() - opened);
            targets_.zone_partition.heal();
          });
        });
  }

  void limitNodesCpu(std::uint32_t target, milliseconds duration) {
    for (std::uint32_t node = 0; node < targets_.nodes.size(); ++node) {
      if ((node + target) % kNodesPerUnlimitedNode == 0) {
        continue;
      }
      targets_.nodes.limitCpu(node);
      targets_.schedule.after(duration, [this, node] { targets_.nodes.removeCpuLimit(node); });
    }
  }

  void reportDisturbance(milliseconds duration) {
    targets_.monitor.onDisturbed(SoakClock::now() + duration);
  }

  void failStore(int status, milliseconds duration) {
    reportDisturbance(duration);
    targets_.store.failWith(status);
    targets_.schedule.after(duration, [this] { targets_.store.failWith(200); });
  }

  /** The store is unavailable and loses the backends' items; live backends write theirs again. */
  void loseItems(milliseconds duration) {
    const milliseconds unavailable_time = duration + SimulatedBackendPool::kItemTtl;
    failStore(503, unavailable_time);
    reportDisturbance(targets_.pool.loseItems(unavailable_time, targets_.random));
  }

  const FaultTargets targets_;
};

}  // namespace lugfork::soak
