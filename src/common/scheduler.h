#pragma once

#include <functional>

#include "common/time_source.h"

namespace lugfork {

/** Calls functions after a delay, on the thread of the event loop. */
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /**
   * Calls the function once after the delay. There is no cancellation: the function has to check
   * whether it is still needed.
   */
  virtual void callAfter(Duration delay, std::function<void()> function) = 0;
};

}  // namespace lugfork
