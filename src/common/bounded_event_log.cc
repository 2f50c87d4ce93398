#include "common/bounded_event_log.h"

#include <algorithm>
#include <utility>

namespace lugfork {

void BoundedEventLog::write(LogLevel level, std::string_view component, std::string_view event,
                            std::initializer_list<LogField> fields) {
  auto found = budgets_.find(component);
  if (found == budgets_.end()) {
    const Budget full{limits_.burst, time_source_.monotonicTime(), 0};
    found = budgets_.emplace(std::string(component), full).first;
  }
  Budget& budget = found->second;
  if (!takeLine(budget)) {
    ++budget.left_out;
    ++suppressed_;
    return;
  }
  if (budget.left_out > 0) {
    next_.write(LogLevel::Warn, component, "log_lines_left_out",
                {{"lines", std::exchange(budget.left_out, 0)}});
  }
  next_.write(level, component, event, fields);
}

bool BoundedEventLog::takeLine(Budget& budget) {
  const MonotonicTime now = time_source_.monotonicTime();
  const double elapsed = std::chrono::duration<double>(now - budget.refilled_at).count();
  budget.refilled_at = now;
  budget.balance = std::min(limits_.burst, budget.balance + elapsed * limits_.lines_per_second);
  if (budget.balance < 1) {
    return false;
  }
  budget.balance -= 1;
  return true;
}

}  // namespace lugfork
