#pragma once

#include <set>

#include "explain/clock_skew.h"

namespace lugfork {

/** What to explain: a flow by its caller, or a back end. */
struct TimelineQuery {
  /** "a.b.c.d:port" of the caller, or "caller>service"; empty for no flow. */
  std::string flow;
  /** Name or id of a back end; empty for none. */
  std::string backend;
  /** Time around the flow's own lines from which others are told [ms]. */
  std::int64_t around_ms = 10000;
};

/** One line of a story; several nodes that told the same count once. */
struct TimelineEntry {
  LogLine line;
  /** The line's time, corrected for the node's clock [ms]. */
  std::int64_t time_ms = 0;
  /** Further nodes that told the same, and when the last of them did. */
  std::set<std::string> other_nodes;
  std::int64_t last_time_ms = 0;
};

struct Timeline {
  /** In the order of time. */
  std::vector<TimelineEntry> lines;
  /** Nodes whose clocks are off, with by how much [ms]. */
  std::map<std::string, std::int64_t> skewed_clocks;
};

/**
 * Picks the lines that touch a flow, the back ends that it went to and the nodes that handled it,
 * over all nodes.
 * @param lines of all nodes, those of one node in the order in which it wrote them.
 */
Timeline buildTimeline(const std::vector<LogLine>& lines, const TimelineQuery& question);

}  // namespace lugfork
