#include "explain/timeline.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace lugfork {

namespace {

/** Events of a node that affect every flow it handles. */
const std::set<std::string> kNodeEvents = {"started",
                                           "stopped",
                                           "leaving",
                                           "view_complete",
                                           "routes_in_force",
                                           "platform_lost",
                                           "platform_regained",
                                           "upstream_changed",
                                           "reload_refused",
                                           "record_invalid",
                                           "backend_id_clash",
                                           "log_lines_left_out",
                                           "zones_out_of_reach",
                                           "evidence_left_out"};

/** Set of backends; log lines identify a backend by name, by id or by both. */
struct BackendNames {
  std::set<std::string> names;
  std::set<std::uint64_t> ids;

  bool contains(const LogLine& line) const {
    const auto id = line.number("backend_id");
    return (id && ids.contains(*id)) || names.contains(line.text("backend")) || isListed(line);
  }

  /** Lines of a snapshot or of many changes list backends as "name=state name=state ...". */
  bool isListed(const LogLine& line) const {
    if (line.event != "backend_snapshot" && line.event != "backend_states") {
      return false;
    }
    const std::string listed = " " + line.text("backends");
    return std::any_of(names.begin(), names.end(), [&](const std::string& name) {
      return listed.find(" " + name + "=") != std::string::npos;
    });
  }

  void add(const LogLine& line) {
    const auto id = line.number("backend_id");
    if (id && *id != 0) {
      ids.insert(*id);
    }
    const std::string name = line.text("backend");
    if (!name.empty()) {
      names.insert(name);
    }
  }
};

bool isOfFlow(const LogLine& line, const std::string& flow) {
  const std::string name = line.text("flow");
  return !flow.empty() && (name == flow || name.starts_with(flow + ">"));
}

/** Selects the lines that match a query and corrects their times by the clock skew. */
class LineSelector {
 public:
  LineSelector(const std::vector<LogLine>& lines, const TimelineQuery& query, const ClockSkew& skew)
      : lines_(lines), query_(query), skew_(skew) {
    collectSubjects();
  }

  std::vector<TimelineEntry> select() const {
    std::vector<TimelineEntry> selected;
    for (const LogLine& line : lines_) {
      const std::int64_t time_ms = timeOf(line);
      if (isSelected(line, time_ms)) {
        selected.push_back({line, time_ms, {}, time_ms});
      }
    }
    const auto is_earlier = [](const TimelineEntry& left, const TimelineEntry& right) {
      return left.time_ms < right.time_ms;
    };
    std::stable_sort(selected.begin(), selected.end(), is_earlier);
    return selected;
  }

 private:
  std::int64_t timeOf(const LogLine& line) const { return line.time_ms - skew_.ofNode(line.node); }

  void collectSubjects() {
    if (!query_.backend.empty()) {
      backends_.names.insert(query_.backend);
    }
    for (const LogLine& line : lines_) {
      const std::string id = line.text("backend_id");
      const bool is_requested = !query_.backend.empty() &&
                                (line.text("backend") == query_.backend || id == query_.backend);
      if (is_requested) {
        backends_.add(line);
      }
      if (isOfFlow(line, query_.flow)) {
        addFlowLine(line);
      }
    }
  }

  void addFlowLine(const LogLine& line) {
    backends_.add(line);
    nodes_.insert(line.node);
    from_ms_ = std::min(from_ms_, timeOf(line) - query_.around_ms);
    until_ms_ = std::max(until_ms_, timeOf(line) + query_.around_ms);
  }

  bool isSelected(const LogLine& line, std::int64_t time_ms) const {
    if (isOfFlow(line, query_.flow)) {
      return true;
    }
    const bool has_flow_query = !query_.flow.empty();
    const bool is_in_window = !has_flow_query || (time_ms >= from_ms_ && time_ms <= until_ms_);
    const bool is_of_other_flow = line.fields.contains("flow");
    if (!is_in_window || is_of_other_flow) {
      return false;
    }
    return backends_.contains(line) ||
           (nodes_.contains(line.node) && kNodeEvents.contains(line.event));
  }

  const std::vector<LogLine>& lines_;
  const TimelineQuery& query_;
  const ClockSkew& skew_;
  BackendNames backends_;
  std::set<std::string> nodes_;
  std::int64_t from_ms_ = std::numeric_limits<std::int64_t>::max();
  std::int64_t until_ms_ = std::numeric_limits<std::int64_t>::min();
};

/** Merges lines in which several nodes report the same state change of a backend. */
std::vector<TimelineEntry> mergeDuplicateReports(const std::vector<TimelineEntry>& lines) {
  std::vector<TimelineEntry> merged;
  std::map<std::tuple<std::string, std::string, std::uint64_t>, std::size_t> index_by_change;
  for (const TimelineEntry& line : lines) {
    const auto revision = line.line.number("revision");
    const bool is_state_change = line.line.event == "backend_state" && revision;
    if (!is_state_change) {
      merged.push_back(line);
      continue;
    }
    const auto [entry, is_first] = index_by_change.try_emplace(
        {line.line.text("backend"), line.line.text("state"), *revision}, merged.size());
    if (is_first) {
      merged.push_back(line);
      continue;
    }
    TimelineEntry& first = merged[entry->second];
    first.other_nodes.insert(line.line.node);
    first.last_time_ms = line.time_ms;
  }
  return merged;
}

}  // namespace

Timeline buildTimeline(const std::vector<LogLine>& lines, const TimelineQuery& query) {
  const ClockSkew skew(lines);
  Timeline timeline;
  timeline.lines = mergeDuplicateReports(LineSelector(lines, query, skew).select());
  for (const std::string& node : skew.nodesWithSkew()) {
    timeline.skewed_clocks[node] = skew.ofNode(node);
  }
  return timeline;
}

}  // namespace lugfork
