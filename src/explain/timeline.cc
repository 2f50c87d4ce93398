#include "explain/timeline.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace lugfork {

namespace {

/** Events of a node that bear on every flow it handles. */
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

/** Back ends, by whichever of their two names a line gives. */
struct BackendNames {
  std::set<std::string> names;
  std::set<std::uint64_t> ids;

  bool contains(const LogLine& line) const {
    const auto id = line.number("backend_id");
    return (id && ids.contains(*id)) || names.contains(line.text("backend")) || isInSnapshot(line);
  }

  /** A line of a snapshot or of many changes lists back ends as "name=state name=state ...". */
  bool isInSnapshot(const LogLine& line) const {
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

/** Chooses lines; corrected times stand beside them. */
class Picker {
 public:
  Picker(const std::vector<LogLine>& lines, const TimelineQuery& question, const ClockSkew& skew)
      : lines_(lines), question_(question), skew_(skew) {
    findSubject();
  }

  std::vector<TimelineEntry> pick() const {
    std::vector<TimelineEntry> picked;
    for (const LogLine& line : lines_) {
      const std::int64_t time_ms = timeOf(line);
      if (belongs(line, time_ms)) {
        picked.push_back({line, time_ms, {}, time_ms});
      }
    }
    const auto is_earlier = [](const TimelineEntry& left, const TimelineEntry& right) {
      return left.time_ms < right.time_ms;
    };
    std::stable_sort(picked.begin(), picked.end(), is_earlier);
    return picked;
  }

 private:
  std::int64_t timeOf(const LogLine& line) const { return line.time_ms - skew_.ofNode(line.node); }

  void findSubject() {
    if (!question_.backend.empty()) {
      backends_.names.insert(question_.backend);
    }
    for (const LogLine& line : lines_) {
      const std::string id = line.text("backend_id");
      const bool is_asked = !question_.backend.empty() &&
                            (line.text("backend") == question_.backend || id == question_.backend);
      if (is_asked) {
        backends_.add(line);
      }
      if (isOfFlow(line, question_.flow)) {
        addFlowLine(line);
      }
    }
  }

  void addFlowLine(const LogLine& line) {
    backends_.add(line);
    nodes_.insert(line.node);
    from_ms_ = std::min(from_ms_, timeOf(line) - question_.around_ms);
    until_ms_ = std::max(until_ms_, timeOf(line) + question_.around_ms);
  }

  bool belongs(const LogLine& line, std::int64_t time_ms) const {
    if (isOfFlow(line, question_.flow)) {
      return true;
    }
    const bool asks_for_flow = !question_.flow.empty();
    const bool in_time = !asks_for_flow || (time_ms >= from_ms_ && time_ms <= until_ms_);
    const bool of_other_flow = line.fields.contains("flow");
    if (!in_time || of_other_flow) {
      return false;
    }
    return backends_.contains(line) ||
           (nodes_.contains(line.node) && kNodeEvents.contains(line.event));
  }

  const std::vector<LogLine>& lines_;
  const TimelineQuery& question_;
  const ClockSkew& skew_;
  BackendNames backends_;
  std::set<std::string> nodes_;
  std::int64_t from_ms_ = std::numeric_limits<std::int64_t>::max();
  std::int64_t until_ms_ = std::numeric_limits<std::int64_t>::min();
};

/** Lines of several nodes that tell the same change of the platform count once. */
std::vector<TimelineEntry> mergeSameNews(const std::vector<TimelineEntry>& lines) {
  std::vector<TimelineEntry> merged;
  std::map<std::tuple<std::string, std::string, std::uint64_t>, std::size_t> known;
  for (const TimelineEntry& line : lines) {
    const auto revision = line.line.number("revision");
    const bool is_news = line.line.event == "backend_state" && revision;
    if (!is_news) {
      merged.push_back(line);
      continue;
    }
    const auto [entry, is_first] = known.try_emplace(
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

Timeline buildTimeline(const std::vector<LogLine>& lines, const TimelineQuery& question) {
  const ClockSkew skew(lines);
  Timeline story;
  story.lines = mergeSameNews(Picker(lines, question, skew).pick());
  for (const std::string& node : skew.nodesWithSkew()) {
    story.skewed_clocks[node] = skew.ofNode(node);
  }
  return story;
}

}  // namespace lugfork
