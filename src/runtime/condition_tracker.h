#pragma once

#include <map>
#include <string>

#include "common/time_source.h"

namespace lugfork {

/** Condition of a resource: whether it holds, why, and since when. */
struct Condition {
  std::string type;
  bool holds = false;
  /** Machine-readable code of the cause, in snake case. */
  std::string reason;
  /** When this node first observed the condition with this status and reason. */
  SystemTime since;
};

/** Tracks since when each condition has had its status and reason. */
class ConditionTracker {
 public:
  explicit ConditionTracker(const TimeSource& time_source) : time_source_(time_source) {}

  /** Records the current status of a condition. @return the condition with its start time. */
  Condition observe(const std::string& resource, const std::string& type, bool holds,
                    const std::string& reason) {
    Condition& tracked = conditions_[resource + "/" + type];
    if (tracked.type.empty() || tracked.holds != holds || tracked.reason != reason) {
      tracked = {type, holds, reason, time_source_.systemTime()};
    }
    return tracked;
  }

 private:
  const TimeSource& time_source_;
  std::map<std::string, Condition> conditions_;
};

}  // namespace lugfork
