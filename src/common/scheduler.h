#pragma once

#include <functional>

#include "common/time_source.h"

namespace lugfork {

/** Calls functions later, on the thread of the caller's event loop. */
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /** Calls the function once after the delay. Can't be taken back: callers check what still holds.
   */
  virtual void callAfter(Duration delay, std::function<void()> function) = 0;
};

}  // namespace lugfork
