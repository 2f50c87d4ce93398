#pragma once

#include "common/time_source.h"

namespace lugfork {

/**
 * Divides the time within which a change of the store must be in force at every balancer. All parts
 * count from the age of what a balancer knows, so that their sum is the bound whatever they wait
 * for: a follower that counted its turn from the poll that failed asked the store with a view up to
 * 6.2 s old, where 5 s were allowed and three watchers had full links.
 */
struct FreshnessBudget {
  /** From the store's acknowledgement of a change until it must be in force. */
  Duration max_propagation_delay = seconds(6);
  /**
   * Age up to which an upstream's view is fresh: the longest watch of a store that answers, eighty
   * times slower than usual, and a poll.
   */
  Duration max_fresh_age = milliseconds(1500);
  /** Pause between two polls, in which a fresh view grows older. */
  Duration poll_interval = milliseconds(400);
  /** Left for the store: two answers in a row from one that is eighty times slower than usual. */
  Duration store_answer_time = milliseconds(800);

  /** @return age of what is known at which the last balancer of the fleet asks the store. */
  Duration maxProbeAge() const;

  /** @return time over which the fleet's calls to the store may be spread at most. */
  Duration maxSpread() const;

  /**
   * @param share place of a balancer in the fleet's order, from 0 to 1.
   * @param spread time over which the fleet's calls are spread.
   * @return age of what is known at which this balancer asks the store, whatever else it waits for.
   */
  Duration probeAge(double share, Duration spread) const;
};

}  // namespace lugfork
