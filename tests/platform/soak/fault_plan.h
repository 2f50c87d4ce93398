#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lugfork::soak {

enum class FaultKind {
  KillNode,
  KillAllNodes,
  PauseNode,
  StopNode,
  ReloadNode,
  StoreUnavailable,
  StoreThrottled,
  StoreTruncatesResponses,
  StoreCompactsHistory,
  StoreLosesItems,
  CrashBackend,
  PauseBackend,
  ReplaceBackend,
  MoveRoute,
  DropPackets,
  /** Clients' packets are delayed, duplicated and reordered. */
  ReorderPackets,
  /** Series of changes, each started before the previous one has completed. */
  StopNodesInSeries,
  SignalNode,
  ReplaceBackends,
  MoveRoutes,
  Last = MoveRoutes,
  /** Only in plans with partitions of zones; listed after Last so that the other plans of a
   * seed don't change. */
  IsolateZone,
  LimitNodesCpu,
};

/** Stable name of a kind of fault, for reports. */
const char* toString(FaultKind kind);

/** One fault of a run. */
struct Fault {
  FaultKind kind = FaultKind::KillNode;
  /** Time since the start of the run. */
  std::chrono::milliseconds at{};
  std::chrono::milliseconds duration{};
  /** Number of the node or backend, taken modulo their count. */
  std::uint32_t target = 0;
};

/**
 * Draws the faults of a run: groups of one to three concurrent faults. Most groups are followed by
 * a pause in which time bounds are checked; one group in four starts while the previous one still
 * lasts.
 * @return the same faults for the same seed and length, ordered by start time.
 */
std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length);

/**
 * Draws combined faults: the CPU of most balancers is limited, then a zone is partitioned, and
 * meanwhile backends become silent permanently, others are replaced, and balancers stop.
 * @return the same faults for the same seed and length, ordered by start time; none lasts
 * beyond the length.
 */
std::vector<Fault> drawPartitionFaults(std::uint64_t seed, std::chrono::milliseconds length);

}  // namespace lugfork::soak
