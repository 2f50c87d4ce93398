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
  StoreCutsAnswers,
  StoreForgets,
  StoreLosesEntries,
  CrashServer,
  PauseServer,
  ReplaceServer,
  MoveRoute,
  LosePackets,
  /** Clients' packets come late, twice and out of order. */
  DisorderPackets,
  /** In series, each before the one before it is over. */
  RollNodes,
  SignalNode,
  ReleaseServers,
  MoveRoutes,
  Last = MoveRoutes,
  /** Of plans with zones only, so that the other plans of a seed stay as they are. */
  CutZone,
  SlowNodes,
};

/** Stable name of a kind of fault, for reports. */
const char* toString(FaultKind kind);

/** One fault of a run. */
struct Fault {
  FaultKind kind = FaultKind::KillNode;
  /** Time from the run's start. */
  std::chrono::milliseconds at{};
  std::chrono::milliseconds duration{};
  /** Which node or server, as a number that is taken modulo how many there are. */
  std::uint32_t target = 0;
};

/**
 * Draws the faults of a run: one to three together, most groups with pauses after them in which
 * bounds in time can be judged; one group in four begins while the one before it still lasts.
 * @return the same faults for the same seed and length, in the order of their times.
 */
std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length);

/**
 * Draws faults in which much comes together: most balancers' processors turn slow, then a zone is
 * cut off, and meanwhile servers fall silent for good, others are released, and balancers stop.
 * @return the same faults for the same seed and length, in the order of their times; none lasts
 * beyond the length.
 */
std::vector<Fault> drawZoneFaults(std::uint64_t seed, std::chrono::milliseconds length);

}  // namespace lugfork::soak
