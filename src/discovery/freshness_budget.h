#pragma once

#include "common/time_source.h"

namespace lugfork {

/**
 * Divides the time within which a change in the store must be in force at every balancer. All parts
 * count from the age of the balancer's view, so that their sum is the limit whatever causes a
 * delay. With a delay counted from the failed poll instead, a follower called the store only when
 * its view was up to 6.2 s old while three watchers had saturated links; the limit was 5 s.
 */
struct FreshnessBudget {
  /** Time from the store's acknowledgement of a change until it must be in force. */
  Duration max_propagation_delay = seconds(6);
  /**
   * Age up to which an upstream's view is fresh: the longest watch of a store that answers 80 times
   * slower than usual, plus a poll.
   */
  Duration max_fresh_age = milliseconds(1500);
  /** Interval between two polls, during which a fresh view ages. */
  Duration poll_interval = milliseconds(400);
  /** Time for the store: two consecutive answers that are 80 times slower than usual. */
  Duration store_answer_time = milliseconds(800);

  /** @return age of its view at which the last balancer of the fleet calls the store. */
  Duration maxProbeAge() const;

  /** @return longest time over which the fleet's calls to the store may be spread. */
  Duration maxSpread() const;

  /**
   * @param rank_fraction position of a balancer in the fleet's rank order, from 0 to 1.
   * @param spread time over which the fleet's calls are spread.
   * @return age of its view at which this balancer calls the store in any case.
   */
  Duration probeAge(double rank_fraction, Duration spread) const;
};

}  // namespace lugfork
