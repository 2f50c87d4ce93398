#pragma once

#include <optional>

#include "common/time_source.h"

namespace lugfork {

/** @return processor time that all threads of this process have used. */
Duration processorTime();

/** @return time since the machine's start. */
Duration machineTime();

/**
 * @return when this process began, before its libraries were loaded, as machineTime() counts; to 10
 * ms. Unset where the system does not say.
 */
std::optional<Duration> processStartedAt();

}  // namespace lugfork
