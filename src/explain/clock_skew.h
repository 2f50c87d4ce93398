#pragma once

#include <map>
#include <string>
#include <vector>

#include "explain/log_line.h"

namespace lugfork {

/**
 * Estimates the offsets between the clocks of nodes. All nodes receive a revision of the store
 * within one or two seconds, so larger differences between the times at which they log the same
 * revision come from their clocks.
 */
class ClockSkew {
 public:
  /** @param lines log lines of all nodes, those of one node in the order of writing. */
  explicit ClockSkew(const std::vector<LogLine>& lines);

  /** @return how far a node's clock is ahead of the median, 0 where unknown or small [ms]. */
  std::int64_t ofNode(const std::string& node) const;

  /** @return nodes whose clock offset exceeds what propagation delay explains. */
  std::vector<std::string> nodesWithSkew() const;

 private:
  std::map<std::string, std::int64_t> skew_ms_;
};

}  // namespace lugfork
