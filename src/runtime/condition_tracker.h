#pragma once

#include <map>
#include <string>

#include "common/time_source.h"

namespace lugfork {

/** One statement about a resource, why it holds, and since when. */
struct Condition {
  std::string type;
  bool holds = false;
  /** Stable name of the cause, in snake case. */
  std::string reason;
  /** When this node first saw the statement in this form. */
  SystemTime since;
};

/** Remembers since when each condition holds as it does. */
class ConditionTracker {
 public:
  explicit ConditionTracker(const TimeSource& time_source) : time_source_(time_source) {}

  /** Takes the current form of a condition. @return the condition with its time. */
  Condition observe(const std::string& resource, const std::string& type, bool holds,
                    const std::string& reason) {
    Condition& known = conditions_[resource + "/" + type];
    if (known.type.empty() || known.holds != holds || known.reason != reason) {
      known = {type, holds, reason, time_source_.systemTime()};
    }
    return known;
  }

 private:
  const TimeSource& time_source_;
  std::map<std::string, Condition> conditions_;
};

}  // namespace lugfork
