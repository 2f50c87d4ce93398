#pragma once

#include <optional>

#include "common/time_source.h"

namespace lugfork {

/** @return CPU time used by all threads of this process, in user and kernel mode. */
Duration cpuTime();

/** @return time since the machine booted. */
Duration timeSinceBoot();

/**
 * @return when this process started, before its libraries were loaded, on the clock of
 * timeSinceBoot(), with a resolution of 10 ms; unset if the system does not report it.
 */
std::optional<Duration> processStartedAt();

}  // namespace lugfork
