#include "platform/soak/fault_plan.h"

#include <algorithm>
#include <memory>

#include "common/random_generator.h"

namespace lugfork::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMostTogether = 3;
constexpr std::uint64_t kShortestPauseMs = 1500;
constexpr std::uint64_t kPauseSpreadMs = 8000;
constexpr std::uint64_t kShortestFaultMs = 300;
constexpr std::uint64_t kFaultSpreadMs = 4000;
constexpr std::uint64_t kTogetherSpreadMs = 400;
constexpr std::uint64_t kTargets = 1000;
/** One group in so many begins before the end of the one before it. */
constexpr std::uint64_t kGroupsToOverlap = 4;
constexpr std::uint64_t kShortestCutMs = 4500;
constexpr std::uint64_t kCutSpreadMs = 2000;
/** Servers fall silent and are released this early in a cut. */
constexpr std::uint64_t kEarlyInCutMs = 1200;
constexpr std::uint64_t kMostSilent = 2;
/** Slow processors are so before a cut and after it. */
constexpr milliseconds kSlowBesideCut{1500};
/** Bounds in time are judged again in the pause after a cut. */
constexpr milliseconds kPauseAfterCut{8000};

}  // namespace

const char* toString(FaultKind kind) {
  switch (kind) {
    case FaultKind::KillNode:
      return "kill_node";
    case FaultKind::KillAllNodes:
      return "kill_all_nodes";
    case FaultKind::PauseNode:
      return "pause_node";
    case FaultKind::StopNode:
      return "stop_node";
    case FaultKind::ReloadNode:
      return "reload_node";
    case FaultKind::StoreUnavailable:
      return "store_unavailable";
    case FaultKind::StoreThrottled:
      return "store_throttled";
    case FaultKind::StoreCutsAnswers:
      return "store_cuts_answers";
    case FaultKind::StoreForgets:
      return "store_forgets";
    case FaultKind::StoreLosesEntries:
      return "store_loses_entries";
    case FaultKind::CrashServer:
      return "crash_server";
    case FaultKind::PauseServer:
      return "pause_server";
    case FaultKind::ReplaceServer:
      return "replace_server";
    case FaultKind::MoveRoute:
      return "move_route";
    case FaultKind::LosePackets:
      return "lose_packets";
    case FaultKind::DisorderPackets:
      return "disorder_packets";
    case FaultKind::RollNodes:
      return "roll_nodes";
    case FaultKind::SignalNode:
      return "signal_node";
    case FaultKind::ReleaseServers:
      return "release_servers";
    case FaultKind::MoveRoutes:
      return "move_routes";
    case FaultKind::CutZone:
      return "cut_zone";
    case FaultKind::SlowNodes:
      return "slow_nodes";
  }
  return "unknown";
}

std::vector<Fault> drawFaults(std::uint64_t seed, milliseconds length) {
  const std::unique_ptr<RandomGenerator> random = makeSeededRandom(seed);
  const auto below = [&](std::uint64_t bound) {
    return static_cast<std::uint32_t>(random->below(bound));
  };
  std::vector<Fault> faults;
  milliseconds at{kShortestPauseMs};
  while (at < length) {
    milliseconds end = at;
    const std::uint32_t together = 1 + below(kMostTogether);
    for (std::uint32_t count = 0; count < together; ++count) {
      Fault fault;
      fault.kind = static_cast<FaultKind>(below(static_cast<std::uint64_t>(FaultKind::Last) + 1));
      fault.at = at + milliseconds(below(kTogetherSpreadMs));
      fault.duration = milliseconds(kShortestFaultMs + below(kFaultSpreadMs));
      fault.target = below(kTargets);
      end = std::max(end, fault.at + fault.duration);
      faults.push_back(fault);
    }
    const bool next_overlaps = below(kGroupsToOverlap) == 0;
    at = next_overlaps ? at + milliseconds(kShortestFaultMs + below(kTogetherSpreadMs))
                       : end + milliseconds(kShortestPauseMs + below(kPauseSpreadMs));
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return faults;
}

std::vector<Fault> drawZoneFaults(std::uint64_t seed, milliseconds length) {
  const std::unique_ptr<RandomGenerator> random = makeSeededRandom(seed);
  std::vector<Fault> faults;
  const auto add = [&](FaultKind kind, milliseconds at, milliseconds duration) {
    faults.push_back({kind, at, duration, static_cast<std::uint32_t>(random->below(kTargets))});
  };
  const auto early = [&] { return milliseconds(random->below(kEarlyInCutMs)); };
  milliseconds at{kShortestPauseMs};
  while (true) {
    const milliseconds cut(kShortestCutMs + random->below(kCutSpreadMs));
    const milliseconds group = cut + 2 * kSlowBesideCut;
    if (at + group > length) {
      break;
    }
    const milliseconds cut_at = at + kSlowBesideCut;
    add(FaultKind::SlowNodes, at, group);
    add(FaultKind::CutZone, cut_at, cut);
    for (std::uint64_t count = random->below(kMostSilent) + 1; count > 0; --count) {
      add(FaultKind::CrashServer, cut_at + early(), cut);
    }
    add(FaultKind::ReleaseServers, cut_at + early(), milliseconds(0));
    if (random->below(2) == 0) {
      add(FaultKind::StopNode, cut_at + early(), milliseconds(0));
    }
    at += group + kPauseAfterCut;
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return faults;
}

}  // namespace lugfork::soak
