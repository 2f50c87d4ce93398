#pragma once

#include <cstdint>
#include <vector>

#include "sim/observations.h"

/** Checks the promises (service guarantees) of the product against the observations. */
namespace lugfork {

/** Counts of violated promises and load statistics of one or more simulations. */
struct PromiseReport {
  std::uint64_t seeds = 0;
  std::uint64_t flows = 0;
  /** Breaks of established flows without a backend outage, and calls that never ended. */
  std::uint64_t broken_planned = 0;
  /** Breaks of flows during an unplanned outage of their backend. Not a violation. */
  std::uint64_t broken_unplanned = 0;
  /** Starts of work of a call at a backend of another service. */
  std::uint64_t misdelivered = 0;
  /** Answers with pieces of another call or position, or complete ones with missing pieces. */
  std::uint64_t crossed_answers = 0;
  /** Repeated starts of work that must run at most once. */
  std::uint64_t double_runs = 0;
  /** Attempts or calls that were refused as not run although they ran. */
  std::uint64_t false_not_run = 0;
  /** Work admitted by a draining backend later than drain_grace after the start of the drain. */
  std::uint64_t late_work_on_draining = 0;
  /** Breaks during or shortly after a graceful stop; also counted in broken_planned. */
  std::uint64_t cut_by_planned_stop = 0;
  /** Decreases of a node's configuration version, including across restarts. */
  std::uint64_t config_reverts = 0;
  /** Longest time from a publication, or the end of isolation, until all nodes applied it. */
  std::uint64_t config_spread_ms_max = 0;
  /** Work admitted in a withdrawn zone later than max_propagation_delay after the withdrawal. */
  std::uint64_t zone_violations = 0;
  double imbalance_p50 = 0;
  double imbalance_p99 = 0;
  std::uint64_t refused = 0;
  std::uint64_t refused_without_retry_after = 0;

  /** Ratio of maximum to mean load for each sample of all simulations. */
  std::vector<double> imbalance_samples;

  /** @return true if no promise is violated. */
  bool holds() const;

  /** Adds the counts of another report. */
  void add(const PromiseReport& other);

  /** Computes the percentiles from the samples. */
  void summarize();
};

/** Time limits of the promises. */
struct PromiseLimits {
  /** A draining backend may still admit work for this long. */
  Duration drain_grace = seconds(5);
  /** Longest time until a configuration is in force on all nodes. */
  Duration max_propagation_delay = seconds(5);
  /** Time after a planned stop in which breaks are attributed to it. */
  Duration stop_break_window = seconds(5);
};

/** Counts violated promises in the observations of one simulation. */
PromiseReport checkPromises(const Observations& observations, const PromiseLimits& limits = {});

}  // namespace lugfork
