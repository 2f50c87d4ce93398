#pragma once

#include <cstdint>
#include <vector>

#include "sim/observations.h"

/** The promises of the brief, as counts over what was observed. */
namespace lugfork {

/** Counts of broken promises and measures of one or more simulations. */
struct PromiseReport {
  std::uint64_t seeds = 0;
  std::uint64_t flows = 0;
  /** Breaks of established flows, and calls that never ended, that no back end's death explains. */
  std::uint64_t broken_planned = 0;
  /** Breaks of flows whose back end died, or stood still, without a plan. No broken promise. */
  std::uint64_t broken_unplanned = 0;
  /** Work of a call that a back end of another service started, or pieces that it sent. */
  std::uint64_t misdelivered = 0;
  /** Answers with pieces of another call or position, or whole answers with pieces missing. */
  std::uint64_t crossed_answers = 0;
  /** Starts of work that may not be repeated, beyond the first. */
  std::uint64_t double_runs = 0;
  /** Attempts or calls refused as not run that ran. */
  std::uint64_t false_not_run = 0;
  /** Work that a back end admitted more than a few seconds after it was leaving. */
  std::uint64_t late_work_on_draining = 0;
  /** Breaks while a machine was stopped in the way meant for it; counted in broken_planned too. */
  std::uint64_t cut_by_planned_stop = 0;
  /** A node's version in force went down, also across its restarts. */
  std::uint64_t config_reverts = 0;
  /** Longest time from a publication, or the end of isolation, until all nodes had it. */
  std::uint64_t config_spread_ms_max = 0;
  /** Work admitted in a zone that had been withdrawn from the service a few seconds before. */
  std::uint64_t zone_violations = 0;
  double imbalance_p50 = 0;
  double imbalance_p99 = 0;
  std::uint64_t refused = 0;
  std::uint64_t refused_without_retry_after = 0;

  /** Busiest over mean of each sample, of all simulations. */
  std::vector<double> imbalance_samples;

  /** @return true if no promise is broken. */
  bool holds() const;

  /** Adds another simulation's counts. */
  void add(const PromiseReport& other);

  /** Fills the percentiles from the samples. */
  void summarize();
};

/** Limits of the promises that say "seconds". */
struct PromiseLimits {
  /** A leaving back end may still admit work for this long. */
  Duration drain_grace = seconds(5);
  /** Longest time for a configuration to be in force everywhere. */
  Duration max_propagation_delay = seconds(5);
  /** Time after a planned stop in which a break counts against it. */
  Duration stop_break_window = seconds(5);
};

/** Counts broken promises in what one simulation observed. */
PromiseReport checkPromises(const Observations& observations, const PromiseLimits& limits = {});

}  // namespace lugfork
