#include "sim/promise_checker.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace lugfork {

namespace {

using CallsByFlow = std::map<FlowId, const CallRecord*>;

template <typename Key>
bool anyOverlaps(const std::multimap<Key, Interval>& intervals, const Key& key, MonotonicTime begin,
                 MonotonicTime end) {
  const auto [first, last] = intervals.equal_range(key);
  return std::any_of(first, last,
                     [&](const auto& entry) { return entry.second.overlaps(begin, end); });
}

/** Checks the observations of one simulation. */
class PromiseChecker {
 public:
  PromiseChecker(const Observations& observations, const PromiseLimits& limits)
      : observations_(observations), limits_(limits) {
    for (const CallRecord& call : observations_.calls) {
      calls_.emplace(call.flow, &call);
    }
    for (const PlacementObservation& placement : observations_.placements) {
      backends_of_attempt_.emplace(placement.key, placement.backend);
    }
    for (const RunObservation& run : observations_.runs) {
      backends_of_attempt_.emplace(run.key, run.backend);
      attempts_run_.insert(run.key);
      flows_run_.insert(run.key.flow);
    }
  }

  PromiseReport check() {
    report_.seeds = 1;
    report_.flows = observations_.calls.size();
    checkCalls();
    checkRuns();
    checkRefusals();
    checkVersions();
    checkPropagation();
    measureImbalance();
    return report_;
  }

 private:
  void checkCalls() {
    for (const CallRecord& call : observations_.calls) {
      for (const BreakObservation& broken : call.breaks) {
        checkBreak(broken.key, call.started_at, broken.at);
      }
      report_.broken_planned += call.result ? 0 : 1;
      report_.crossed_answers += call.wrong_pieces > 0 ? 1 : 0;
      if (call.result == CallResult::Complete && call.pieces != call.expected_pieces) {
        ++report_.crossed_answers;
      }
      if (call.result == CallResult::NotRun) {
        ++report_.refused;
        report_.refused_without_retry_after += call.retry_after == Duration::zero() ? 1 : 0;
        report_.false_not_run += flows_run_.contains(call.flow) ? 1 : 0;
      }
    }
  }

  void checkBreak(const FlowKey& key, MonotonicTime started_at, MonotonicTime broken_at) {
    const auto [first, last] = backends_of_attempt_.equal_range(key);
    const bool backend_failed = std::any_of(first, last, [&](const auto& entry) {
      return anyOverlaps(observations_.unplanned_outages, entry.second, started_at, broken_at);
    });
    if (backend_failed) {
      ++report_.broken_unplanned;
      return;
    }
    ++report_.broken_planned;
    const auto& stops = observations_.planned_stops;
    const bool stop = std::any_of(stops.begin(), stops.end(), [&](const Interval& interval) {
      return interval.overlaps(broken_at - limits_.stop_break_window, broken_at);
    });
    report_.cut_by_planned_stop += stop ? 1 : 0;
  }

  void checkRuns() {
    std::map<FlowId, std::uint64_t> unrepeatable_runs;
    for (const RunObservation& run : observations_.runs) {
      const auto call = calls_.find(run.key.flow);
      const bool expected_service = call != calls_.end() && call->second->service == run.service;
      report_.misdelivered += expected_service ? 0 : 1;
      if (run.kind == WorkKind::Upload && ++unrepeatable_runs[run.key.flow] > 1) {
        ++report_.double_runs;
      }
      report_.late_work_on_draining += isLateOnDraining(run) ? 1 : 0;
      report_.zone_violations += isOutsideAllowedZones(run) ? 1 : 0;
    }
  }

  bool isLateOnDraining(const RunObservation& run) const {
    const auto [first, last] = observations_.drains.equal_range(run.backend);
    return std::any_of(first, last, [&](const auto& entry) {
      const Interval& drain = entry.second;
      const MonotonicTime announced_at = propagationStart(drain.from);
      return run.admitted_at > announced_at + limits_.drain_grace && run.admitted_at <= drain.until;
    });
  }

  bool isOutsideAllowedZones(const RunObservation& run) const {
    const auto& withdrawals = observations_.withdrawals;
    return std::any_of(withdrawals.begin(), withdrawals.end(), [&](const ZoneWithdrawal& entry) {
      return entry.service == run.service && entry.zone == run.zone &&
             run.admitted_at > propagationStart(entry.at) + limits_.max_propagation_delay;
    });
  }

  /** @return the time from which a change made at that time could propagate, isolation included. */
  MonotonicTime propagationStart(MonotonicTime at) const {
    MonotonicTime start = at;
    const MonotonicTime propagation_deadline = at + limits_.max_propagation_delay;
    for (const Interval& interval : observations_.isolation) {
      if (interval.overlaps(
              at, std::max(propagation_deadline, start + limits_.max_propagation_delay))) {
        start = std::max(start, interval.until);
      }
    }
    return start;
  }

  void checkRefusals() {
    for (const RefusalObservation& refusal : observations_.refusals) {
      report_.false_not_run += attempts_run_.contains(refusal.key) ? 1 : 0;
      const bool lacks_retry_after = !refusal.has_replacement && refusal.retry_after_ms == 0;
      report_.refused_without_retry_after += lacks_retry_after ? 1 : 0;
    }
  }

  void checkVersions() {
    std::map<std::string, std::uint64_t> highest_versions;
    for (const VersionObservation& observation : observations_.versions) {
      std::uint64_t& highest_version = highest_versions[observation.node];
      report_.config_reverts += observation.version < highest_version ? 1 : 0;
      highest_version = std::max(highest_version, observation.version);
    }
  }

  void checkPropagation() {
    for (const PublicationObservation& publication : observations_.publications) {
      for (const auto& [node, uptime] : observations_.node_uptimes) {
        checkPropagationTo(publication, node, uptime);
      }
    }
  }

  void checkPropagationTo(const PublicationObservation& publication, const std::string& node,
                          const Interval& uptime) {
    const MonotonicTime in_force_at = inForceAt(node, publication.version, uptime);
    MonotonicTime since = propagationStart(std::max(publication.at, uptime.from));
    const auto [first, last] = observations_.node_pauses.equal_range(node);
    for (auto entry = first; entry != last; ++entry) {
      if (entry->second.overlaps(publication.at, since + limits_.max_propagation_delay)) {
        since = std::max(since, entry->second.until);
      }
    }
    const bool stopped_early = uptime.until < since + limits_.max_propagation_delay;
    if (publication.at > uptime.until || (stopped_early && in_force_at == MonotonicTime::max())) {
      return;
    }
    const Duration limit = seconds(1000);
    const Duration delay = in_force_at == MonotonicTime::max() ? limit : in_force_at - since;
    const auto delay_ms = std::chrono::duration_cast<milliseconds>(delay).count();
    report_.config_spread_ms_max =
        std::max<std::uint64_t>(report_.config_spread_ms_max,
                                static_cast<std::uint64_t>(std::max<std::int64_t>(0, delay_ms)));
  }

  MonotonicTime inForceAt(const std::string& node, std::uint64_t version,
                          const Interval& uptime) const {
    for (const VersionObservation& observation : observations_.versions) {
      const bool within_uptime = observation.at >= uptime.from && observation.at <= uptime.until;
      if (observation.node == node && within_uptime && observation.version >= version) {
        return observation.at;
      }
    }
    return MonotonicTime::max();
  }

  void measureImbalance() {
    for (const LoadSample& sample : observations_.loads) {
      const double sum = std::accumulate(sample.loads.begin(), sample.loads.end(), 0.0);
      if (sum <= 0) {
        continue;
      }
      const double busiest = *std::max_element(sample.loads.begin(), sample.loads.end());
      report_.imbalance_samples.push_back(busiest * static_cast<double>(sample.loads.size()) / sum);
    }
    report_.summarize();
  }

  const Observations& observations_;
  const PromiseLimits limits_;
  CallsByFlow calls_;
  std::multimap<FlowKey, BackendId> backends_of_attempt_;
  std::set<FlowKey> attempts_run_;
  std::set<FlowId> flows_run_;
  PromiseReport report_;
};

double percentile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

constexpr std::uint64_t kMaxPropagationDelayMilliseconds = 5000;

}  // namespace

bool PromiseReport::holds() const {
  const std::uint64_t broken = broken_planned + misdelivered + crossed_answers + double_runs +
                               false_not_run + late_work_on_draining + cut_by_planned_stop +
                               config_reverts + zone_violations + refused_without_retry_after;
  return broken == 0 && config_spread_ms_max <= kMaxPropagationDelayMilliseconds;
}

void PromiseReport::add(const PromiseReport& other) {
  seeds += other.seeds;
  flows += other.flows;
  broken_planned += other.broken_planned;
  broken_unplanned += other.broken_unplanned;
  misdelivered += other.misdelivered;
  crossed_answers += other.crossed_answers;
  double_runs += other.double_runs;
  false_not_run += other.false_not_run;
  late_work_on_draining += other.late_work_on_draining;
  cut_by_planned_stop += other.cut_by_planned_stop;
  config_reverts += other.config_reverts;
  config_spread_ms_max = std::max(config_spread_ms_max, other.config_spread_ms_max);
  zone_violations += other.zone_violations;
  refused += other.refused;
  refused_without_retry_after += other.refused_without_retry_after;
  imbalance_samples.insert(imbalance_samples.end(), other.imbalance_samples.begin(),
                           other.imbalance_samples.end());
}

void PromiseReport::summarize() {
  std::vector<double> sorted = imbalance_samples;
  std::sort(sorted.begin(), sorted.end());
  constexpr double kMedian = 0.5;
  constexpr double kP99 = 0.99;
  imbalance_p50 = percentile(sorted, kMedian);
  imbalance_p99 = percentile(sorted, kP99);
}

PromiseReport checkPromises(const Observations& observations, const PromiseLimits& limits) {
  return PromiseChecker(observations, limits).check();
}

}  // namespace lugfork
