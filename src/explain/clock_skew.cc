#include "explain/clock_skew.h"

#include <algorithm>

namespace lugfork {

namespace {

/** News takes that long to every node; less than this is no skew [ms]. */
constexpr std::int64_t kSpread = 2000;

bool tellsRevision(const LogLine& line) {
  return line.event == "backend_state" || line.event == "routes_in_force";
}

std::int64_t median(std::vector<std::int64_t> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/** When each node learnt of a revision first, by revision. */
using Arrivals = std::map<std::uint64_t, std::map<std::string, std::int64_t>>;

Arrivals arrivalsOf(const std::vector<LogLine>& lines) {
  Arrivals arrivals;
  for (const LogLine& line : lines) {
    const auto revision = line.number("revision");
    if (tellsRevision(line) && revision) {
      arrivals[*revision].try_emplace(line.node, line.time_ms);
    }
  }
  return arrivals;
}

}  // namespace

ClockSkew::ClockSkew(const std::vector<LogLine>& lines) {
  std::map<std::string, std::vector<std::int64_t>> offsets;
  for (const auto& [revision, by_node] : arrivalsOf(lines)) {
    std::vector<std::int64_t> times;
    for (const auto& [node, time_ms] : by_node) {
      times.push_back(time_ms);
    }
    const std::int64_t usual = median(times);
    for (const auto& [node, time_ms] : by_node) {
      offsets[node].push_back(time_ms - usual);
    }
  }
  for (const auto& [node, values] : offsets) {
    const std::int64_t offset = median(values);
    skew_ms_[node] = std::abs(offset) > kSpread ? offset : 0;
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
