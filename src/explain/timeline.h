#pragma once

#include <set>

#include "explain/clock_skew.h"

namespace lugfork {

/** Subject of a timeline: a flow, identified by its client, or a backend. */
struct TimelineQuery {
  /** "a.b.c.d:port" of the client, or "client>service"; empty for no flow. */
  std::string flow;
  /** Name or id of a backend; empty for none. */
  std::string backend;
  /** Time around the flow's own lines from which other lines are included [ms]. */
  std::int64_t around_ms = 10000;
};

/** One entry of a timeline; lines of several nodes about the same change form one entry. */
struct TimelineEntry {
  LogLine line;
  /** Time of the line, corrected for the node's clock skew [ms since 1970]. */
  std::int64_t time_ms = 0;
  /** Further nodes that report the same change. */
  std::set<std::string> other_nodes;
  /** Corrected time of the last report [ms since 1970]. */
  std::int64_t last_time_ms = 0;
};

struct Timeline {
  /** In the order of time. */
  std::vector<TimelineEntry> lines;
  /** Nodes with clock skew, and how far their clocks are ahead [ms]. */
  std::map<std::string, std::int64_t> skewed_clocks;
};

/**
 * Builds the timeline of a flow or a backend from the log lines of all nodes. The timeline of a
 * flow includes lines about its backends and about the nodes that handled it.
 * @param lines of all nodes, those of one node in the order in which it wrote them.
 */
Timeline buildTimeline(const std::vector<LogLine>& lines, const TimelineQuery& query);

}  // namespace lugfork
