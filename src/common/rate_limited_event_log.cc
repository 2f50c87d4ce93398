#include "common/rate_limited_event_log.h"

#include <algorithm>
#include <utility>

namespace lugfork {

void RateLimitedEventLog::write(LogLevel level, std::string_view component, std::string_view event,
                                std::initializer_list<LogField> fields) {
  TokenBucket& bucket = bucketOf(component, event);
  refill(bucket);
  if (bucket.tokens < 1) {
    countSuppressed(bucket);
    return;
  }
  bucket.tokens -= 1;
  if (bucket.suppressed > 0) {
    next_.write(LogLevel::Warn, component, "log_lines_left_out",
                {{"of_event", std::string(event)}, {"lines", std::exchange(bucket.suppressed, 0)}});
  }
  next_.write(level, component, event, fields);
}

RateLimitedEventLog::TokenBucket& RateLimitedEventLog::bucketOf(std::string_view component,
                                                                std::string_view event) {
  auto events = buckets_.find(component);
  if (events == buckets_.end()) {
    events = buckets_.emplace(std::string(component), BucketByEvent()).first;
  }
  auto found = events->second.find(event);
  if (found == events->second.end()) {
    const TokenBucket full{limits_.burst, time_source_.monotonicTime(), 0};
    found = events->second.emplace(std::string(event), full).first;
  }
  return found->second;
}

bool RateLimitedEventLog::wouldWrite(LogLevel level, std::string_view component,
                                     std::string_view event) {
  if (!next_.wouldWrite(level, component, event)) {
    return false;
  }
  TokenBucket& bucket = bucketOf(component, event);
  refill(bucket);
  if (bucket.tokens < 1) {
    countSuppressed(bucket);
    return false;
  }
  return true;
}

void RateLimitedEventLog::countSuppressed(TokenBucket& bucket) {
  ++bucket.suppressed;
  ++suppressed_;
}

void RateLimitedEventLog::refill(TokenBucket& bucket) const {
  const MonotonicTime now = time_source_.monotonicTime();
  const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.refilled_at = now;
  bucket.tokens = std::min(limits_.burst, bucket.tokens + elapsed * limits_.lines_per_second);
}

}  // namespace lugfork
