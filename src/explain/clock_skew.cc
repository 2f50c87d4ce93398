#include "explain/clock_skew.h"

#include <algorithm>

namespace lugfork {

namespace {

/**
 * Longest time that a change of the store takes to reach all nodes; smaller offsets count as no
 * skew [ms].
 */
constexpr std::int64_t kMaxPropagationDelayMs = 2000;

bool carriesRevision(const LogLine& line) {
  return line.event == "backend_state" || line.event == "routes_in_force";
}

std::int64_t median(std::vector<std::int64_t> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/** Time of each node's first log line about a revision [ms since 1970], by revision and node. */
using ReportTimes = std::map<std::uint64_t, std::map<std::string, std::int64_t>>;

ReportTimes reportTimesOf(const std::vector<LogLine>& lines) {
  ReportTimes report_times;
  for (const LogLine& line : lines) {
    const auto revision = line.number("revision");
    if (carriesRevision(line) && revision) {
      report_times[*revision].try_emplace(line.node, line.time_ms);
    }
  }
  return report_times;
}

}  // namespace

ClockSkew::ClockSkew(const std::vector<LogLine>& lines) {
  std::map<std::string, std::vector<std::int64_t>> offsets;
  for (const auto& [revision, by_node] : reportTimesOf(lines)) {
    std::vector<std::int64_t> times;
    for (const auto& [node, time_ms] : by_node) {
      times.push_back(time_ms);
    }
    const std::int64_t median_time_ms = median(times);
    for (const auto& [node, time_ms] : by_node) {
      offsets[node].push_back(time_ms - median_time_ms);
    }
  }
  for (const auto& [node, values] : offsets) {
    const std::int64_t offset = median(values);
    skew_ms_[node] = std::abs(offset) > kMaxPropagationDelayMs ? offset : 0;
  }
}

std::int64_t ClockSkew::ofNode(const std::string& node) const {
  const auto found = skew_ms_.find(node);
  return found == skew_ms_.end() ? 0 : found->second;
}

std::vector<std::string> ClockSkew::nodesWithSkew() const {
  std::vector<std::string> nodes;
  for (const auto& [node, skew_ms] : skew_ms_) {
    if (skew_ms != 0) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

}  // namespace lugfork
