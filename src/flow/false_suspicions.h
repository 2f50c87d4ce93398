#pragma once

#include <deque>
#include <unordered_map>

#include "common/ids.h"
#include "common/time_source.h"

namespace lugfork {

/**
 * Settings of FalseSuspicions: when backends that looked silent and then answered indicate
 * overload.
 */
struct FalseSuspicionSettings {
  /** Time for which a suspicion counts; a client's attempt and two retries end within 4.2 s. */
  Duration window = seconds(5);
  /**
   * Minimum number of backends of a service: fewer may have failed or lost a packet independently.
   */
  std::size_t min_backends = 3;
  /** Minimum fraction of the service's backends in use; single backends that fail stay below it. */
  double min_fraction = 0.2;
};

/**
 * Tracks backends that looked silent and then answered. If many backends of a service do so, they
 * are slow rather than dead, and silence is no evidence. Queries take amortized constant time: each
 * entry is removed once.
 */
class FalseSuspicions {
 public:
  FalseSuspicions(FalseSuspicionSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /** Records that a backend that had looked silent has answered. */
  void add(ServiceId service, BackendId backend);

  /** @return the number of distinct backends of the service that did so within the window. */
  std::size_t count(ServiceId service) const;

  /**
   * @param in_use number of the service's backends in use.
   * @return true if there are enough false suspicions to indicate overload.
   */
  bool exceedThreshold(ServiceId service, std::size_t in_use) const;

 private:
  struct Answers {
    std::unordered_map<BackendId, MonotonicTime> last;
    /** All answers, oldest first. */
    std::deque<std::pair<MonotonicTime, BackendId>> by_time;
  };

  void removeExpired(Answers& answers) const;

  const FalseSuspicionSettings settings_;
  const TimeSource& time_source_;
  /** Expired entries are removed by queries. */
  mutable std::unordered_map<ServiceId, Answers> answers_;
};

}  // namespace lugfork
