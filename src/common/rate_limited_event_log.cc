#include "common/rate_limited_event_log.h"

#include <algorithm>
#include <utility>

namespace lugfork {

void RateLimitedEventLog::write(LogLevel level, std::string_view component, std::string_view event,
                                std::initializer_list<LogField> fields) {
  Budget& budget = budgetOf(component, event);
  refill(budget);
  if (budget.balance < 1) {
    leaveOut(budget);
    return;
  }
  budget.balance -= 1;
  if (budget.left_out > 0) {
    next_.write(LogLevel::Warn, component, "log_lines_left_out",
                {{"of_event", std::string(event)}, {"lines", std::exchange(budget.left_out, 0)}});
  }
  next_.write(level, component, event, fields);
}

RateLimitedEventLog::Budget& RateLimitedEventLog::budgetOf(std::string_view component,
                                                           std::string_view event) {
  auto events = budgets_.find(component);
  if (events == budgets_.end()) {
    events = budgets_.emplace(std::string(component), BudgetByEvent()).first;
  }
  auto found = events->second.find(event);
  if (found == events->second.end()) {
    const Budget full{limits_.burst, time_source_.monotonicTime(), 0};
    found = events->second.emplace(std::string(event), full).first;
  }
  return found->second;
}

bool RateLimitedEventLog::wouldWrite(LogLevel level, std::string_view component,
                                     std::string_view event) {
  if (!next_.wouldWrite(level, component, event)) {
    return false;
  }
  Budget& budget = budgetOf(component, event);
  refill(budget);
  if (budget.balance < 1) {
    leaveOut(budget);
    return false;
  }
  return true;
}

void RateLimitedEventLog::leaveOut(Budget& budget) {
  ++budget.left_out;
  ++suppressed_;
}

void RateLimitedEventLog::refill(Budget& budget) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const double elapsed = std::chrono::duration<double>(now - budget.refilled_at).count();
  budget.refilled_at = now;
  budget.balance = std::min(limits_.burst, budget.balance + elapsed * limits_.lines_per_second);
}

}  // namespace lugfork
