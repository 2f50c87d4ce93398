#include "platform/soak/fault_plan.h"

#include <algorithm>
#include <memory>

#include "common/random_generator.h"

namespace lugfork::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMaxConcurrentFaults = 3;
constexpr std::uint64_t kMinPauseMs = 1500;
constexpr std::uint64_t kPauseSpreadMs = 8000;
constexpr std::uint64_t kMinFaultMs = 300;
constexpr std::uint64_t kFaultSpreadMs = 4000;
constexpr std::uint64_t kStartSpreadMs = 400;
constexpr std::uint64_t kTargetCount = 1000;
/** One group in this many starts before the end of the previous one. */
constexpr std::uint64_t kGroupsPerOverlap = 4;
constexpr std::uint64_t kMinPartitionMs = 4500;
constexpr std::uint64_t kPartitionSpreadMs = 2000;
/** Backends become silent and are replaced within this time of a partition's start. */
constexpr std::uint64_t kEarlyPartitionMs = 1200;
constexpr std::uint64_t kMaxSilentBackends = 2;
/** The CPU limit starts this long before a partition and ends this long after it. */
constexpr milliseconds kCpuLimitMargin{1500};
/** Time bounds are checked again in the pause after a partition. */
constexpr milliseconds kPauseAfterPartition{8000};

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
    case FaultKind::StoreTruncatesResponses:
      return "store_cuts_answers";
    case FaultKind::StoreCompactsHistory:
      return "store_forgets";
    case FaultKind::StoreLosesItems:
      return "store_loses_entries";
    case FaultKind::CrashBackend:
      return "crash_server";
    case FaultKind::PauseBackend:
      return "pause_server";
    case FaultKind::ReplaceBackend:
      return "replace_server";
    case FaultKind::MoveRoute:
      return "move_route";
    case FaultKind::DropPackets:
      return "lose_packets";
    case FaultKind::ReorderPackets:
      return "disorder_packets";
    case FaultKind::StopNodesInSeries:
      return "roll_nodes";
    case FaultKind::SignalNode:
      return "signal_node";
    case FaultKind::ReplaceBackends:
      return "release_servers";
    case FaultKind::MoveRoutes:
      return "move_routes";
    case FaultKind::IsolateZone:
      return "cut_zone";
    case FaultKind::LimitNodesCpu:
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
  milliseconds at{kMinPauseMs};
  while (at < length) {
    milliseconds end = at;
    const std::uint32_t together = 1 + below(kMaxConcurrentFaults);
    for (std::uint32_t count = 0; count < together; ++count) {
      Fault fault;
      fault.kind = static_cast<FaultKind>(below(static_cast<std::uint64_t>(FaultKind::Last) + 1));
      fault.at = at + milliseconds(below(kStartSpreadMs));
      fault.duration = milliseconds(kMinFaultMs + below(kFaultSpreadMs));
      fault.target = below(kTargetCount);
      end = std::max(end, fault.at + fault.duration);
      faults.push_back(fault);
    }
    const bool next_overlaps = below(kGroupsPerOverlap) == 0;
    at = next_overlaps ? at + milliseconds(kMinFaultMs + below(kStartSpreadMs))
                       : end + milliseconds(kMinPauseMs + below(kPauseSpreadMs));
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return faults;
}

std::vector<Fault> drawPartitionFaults(std::uint64_t seed, milliseconds length) {
  const std::unique_ptr<RandomGenerator> random = makeSeededRandom(seed);
  std::vector<Fault> faults;
  const auto add = [&](FaultKind kind, milliseconds at, milliseconds duration) {
    faults.push_back({kind, at, duration, static_cast<std::uint32_t>(random->below(kTargetCount))});
  };
  const auto early = [&] { return milliseconds(random->below(kEarlyPartitionMs)); };
  milliseconds at{kMinPauseMs};
  while (true) {
    const milliseconds partition(kMinPartitionMs + random->below(kPartitionSpreadMs));
    const milliseconds group = partition + 2 * kCpuLimitMargin;
    if (at + group > length) {
      break;
    }
    const milliseconds partition_at = at + kCpuLimitMargin;
    add(FaultKind::LimitNodesCpu, at, group);
    add(FaultKind::IsolateZone, partition_at, partition);
    for (std::uint64_t count = random->below(kMaxSilentBackends) + 1; count > 0; --count) {
      add(FaultKind::CrashBackend, partition_at + early(), partition);
    }
    add(FaultKind::ReplaceBackends, partition_at + early(), milliseconds(0));
    if (random->below(2) == 0) {
      add(FaultKind::StopNode, partition_at + early(), milliseconds(0));
    }
    at += group + kPauseAfterPartition;
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return faults;
}

}  // namespace lugfork::soak
