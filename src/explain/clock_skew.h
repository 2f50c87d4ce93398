#pragma once

#include <map>
#include <string>
#include <vector>

#include "explain/log_line.h"

namespace lugfork {

/**
 * Estimates how far the clocks of nodes are apart, by when each of them learnt of the same
 * revisions of the platform: all do within a second or two.
 */
class ClockSkew {
 public:
  /** @param lines in the order in which each node wrote them. */
  explicit ClockSkew(const std::vector<LogLine>& lines);

  /** @return how far a node's clock is ahead of most others, 0 where that is not known [ms]. */
  std::int64_t ofNode(const std::string& node) const;

  /** @return nodes whose clock is off by more than what the spread of news explains. */
  std::vector<std::string> nodesWithSkew() const;

 private:
  std::map<std::string, std::int64_t> skew_ms_;
};

}  // namespace lugfork
