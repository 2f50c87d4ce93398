#pragma once

#include <deque>
#include <unordered_map>

#include "common/ids.h"
#include "common/time_source.h"

namespace lugfork {

/** When back ends that looked silent and then answered speak for overload. */
struct FalseSuspicionSettings {
  /** Time for which one counts: a caller's attempt and its two retries end in 4.2 s. */
  Duration window = seconds(5);
  /** Back ends of a service; fewer may have failed, or lost a packet, each for itself. */
  std::size_t min_backends = 3;
  /** Share of the service's back ends in use; more than single servers fail at a time. */
  double min_fraction = 0.2;
};

/**
 * Back ends that looked silent and then answered. Where many of a service do, its servers are late
 * rather than dead, and silence proves nothing. Asking is cheap: each entry is dropped once.
 */
class FalseSuspicions {
 public:
  FalseSuspicions(FalseSuspicionSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /** A back end that had looked silent has answered. */
  void add(ServiceId service, BackendId backend);

  /** @return back ends of the service that did so lately, each counted once. */
  std::size_t count(ServiceId service) const;

  /** @param in_use back ends of the service that are in use. */
  bool exceedThreshold(ServiceId service, std::size_t in_use) const;

 private:
  struct Answers {
    std::unordered_map<BackendId, MonotonicTime> last;
    /** All of them, the oldest first. */
    std::deque<std::pair<MonotonicTime, BackendId>> by_time;
  };

  void removeExpired(Answers& answers) const;

  const FalseSuspicionSettings settings_;
  const TimeSource& time_source_;
  /** Old entries are dropped when they are asked for. */
  mutable std::unordered_map<ServiceId, Answers> answers_;
};

}  // namespace lugfork
