#pragma once

#include "platform/soak/call_schedule.h"
#include "platform/soak/fault_plan.h"
#include "platform/soak/link_faults.h"
#include "platform/soak/node_fleet.h"
#include "platform/soak/packet_client.h"
#include "platform/soak/route_publisher.h"
#include "platform/soak/server_pool.h"

namespace lugfork::soak {

/** Longest delay of a late packet: the copy that its sender makes after 200 ms overtakes it. */
inline constexpr std::chrono::milliseconds kLatestPacket{500};

/** Parts of a soak that faults are done to. */
struct FaultTargets {
  NodeFleet& nodes;
  ServerPool& pool;
  platform::FakeStore& store;
  RoutePublisher& routes;
  LinkFaults& links;
  ZoneCut& zone_cut;
  const std::vector<std::string>& zones;
  const PacketClient& client;
  PromiseMonitor& monitor;
  CallSchedule& schedule;
  RandomGenerator& random;
};

/** Does the faults of a plan to a soak, and tells the monitor what they excuse. */
class FaultInjection {
 public:
  explicit FaultInjection(const FaultTargets& world) : world_(world) {}

  void inject(const Fault& fault) {
    std::printf("  %s target %u for %lld ms\n", toString(fault.kind), fault.target,
                static_cast<long long>(fault.duration.count()));
    switch (fault.kind) {
      case FaultKind::KillNode:
        disturb(fault.duration);
        return killNode(fault.target, fault.duration);
      case FaultKind::KillAllNodes:
        disturb(fault.duration);
        for (std::uint32_t node = 0; node < world_.nodes.size(); ++node) {
          killNode(node, fault.duration);
        }
        return;
      case FaultKind::PauseNode:
        disturb(fault.duration);
        return pauseNode(fault.target, fault.duration);
      case FaultKind::StopNode:
        return world_.nodes.stop(fault.target);
      case FaultKind::ReloadNode:
        return world_.nodes.reload(fault.target);
      case FaultKind::StoreUnavailable:
        return failStore(503, fault.duration);
      case FaultKind::StoreThrottled:
        return failStore(429, fault.duration);
      case FaultKind::StoreCutsAnswers:
        disturb(fault.duration);
        world_.store.truncateResponses(true);
        return world_.schedule.after(fault.duration,
                                     [this] { world_.store.truncateResponses(false); });
      case FaultKind::StoreForgets:
        disturb(milliseconds(0));
        return world_.store.compactHistory();
      case FaultKind::StoreLosesEntries:
        return loseEntries(fault.duration);
      case FaultKind::CrashServer:
        return world_.pool.crash(fault.target, fault.duration);
      case FaultKind::PauseServer:
        return world_.pool.pause(fault.target, fault.duration);
      case FaultKind::ReplaceServer:
        return world_.pool.replace(fault.target);
      case FaultKind::MoveRoute:
        return world_.routes.moveRoute();
      case FaultKind::LosePackets:
        disturb(fault.duration);
        world_.links.loses = true;
        return world_.schedule.after(fault.duration, [this] { world_.links.loses = false; });
      case FaultKind::DisorderPackets:
        disturb(fault.duration + kLatestPacket);
        world_.links.disorders = true;
        return world_.schedule.after(fault.duration, [this] { world_.links.disorders = false; });
      case FaultKind::RollNodes:
        return inSeries(
            [this, fault](std::uint32_t step) { world_.nodes.stop(fault.target + step); });
      case FaultKind::SignalNode:
        return signalNode(fault.target);
      case FaultKind::ReleaseServers:
        return inSeries(
            [this, fault](std::uint32_t step) { world_.pool.replace(fault.target + step); });
      case FaultKind::MoveRoutes:
        return inSeries([this](std::uint32_t) { world_.routes.moveRoute(); });
      case FaultKind::CutZone:
        return cutZone(fault.target, fault.duration);
      case FaultKind::SlowNodes:
        return slowNodes(fault.target, fault.duration);
    }
  }

 private:
  /** A series of planned work: steps, and the pause between two. */
  static constexpr std::uint32_t kSeriesSteps = 4;
  static constexpr milliseconds kSeriesGap{250};
  /** From so long after the start of a cut on, new flows go to servers that can be reached. */
  static constexpr milliseconds kCutIsKnown{2500};
  /** All balancers but one in so many get slow processors. */
  static constexpr std::uint32_t kNodesToOneFast = 3;

  void killNode(std::uint32_t target, milliseconds duration) {
    if (world_.nodes.kill(target)) {
      world_.schedule.after(duration, [this, target] { world_.nodes.startAgain(target); });
    }
  }

  void pauseNode(std::uint32_t target, milliseconds duration) {
    if (world_.nodes.pause(target)) {
      world_.schedule.after(duration, [this, target] { world_.nodes.wake(target); });
    }
  }

  /** Does something several times, each time before the last one can be over. */
  void inSeries(const std::function<void(std::uint32_t step)>& function) {
    for (std::uint32_t step = 0; step < kSeriesSteps; ++step) {
      world_.schedule.after(step * kSeriesGap, [function, step] { function(step); });
    }
  }

  /** Settings are read again while the balancer is about to stop, and it is asked to stop twice. */
  void signalNode(std::uint32_t target) {
    inSeries([this, target](std::uint32_t step) {
      world_.nodes.reload(target);
      if (step > 0) {
        world_.nodes.stop(target);
      }
    });
  }

  void cutZone(std::uint32_t target, milliseconds duration) {
    world_.zone_cut.cutOff(world_.zones[target % world_.zones.size()]);
    world_.monitor.onZoneCut(SoakClock::now() + duration);
    world_.schedule.after(kCutIsKnown, [this, rest = duration - kCutIsKnown] {
      const std::size_t started = world_.client.flowsStarted();
      const std::size_t opened = world_.client.flowsOpened();
      world_.schedule.after(rest, [this, started, opened] {
        world_.monitor.onFlowsInCut(world_.client.flowsStarted() - started,
                                    world_.client.flowsOpened() - opened);
        world_.zone_cut.heal();
      });
    });
  }

  void slowNodes(std::uint32_t target, milliseconds duration) {
    for (std::uint32_t node = 0; node < world_.nodes.size(); ++node) {
      if ((node + target) % kNodesToOneFast == 0) {
        continue;
      }
      world_.nodes.slowDown(node);
      world_.schedule.after(duration, [this, node] { world_.nodes.endSlowness(node); });
    }
  }

  void disturb(milliseconds duration) { world_.monitor.onDisturbed(SoakClock::now() + duration); }

  void failStore(int status, milliseconds duration) {
    disturb(duration);
    world_.store.failWith(status);
    world_.schedule.after(duration, [this] { world_.store.failWith(200); });
  }

  /** The store is away and drops the servers' entries; living servers write theirs again. */
  void loseEntries(milliseconds duration) {
    const milliseconds away = duration + ServerPool::kLapse;
    failStore(503, away);
    disturb(world_.pool.loseEntries(away, world_.random));
  }

  const FaultTargets world_;
};

}  // namespace lugfork::soak
