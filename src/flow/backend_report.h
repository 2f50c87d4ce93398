#pragma once

#include <cstdint>

#include "common/ids.h"
#include "common/time_source.h"

namespace lugfork {

/** Health and load of one backend as observed by one probe. */
struct BackendReport {
  BackendId backend;
  /** The backend answered the probe. */
  bool reachable = false;
  /** The backend reports that it is draining. */
  bool draining = false;
  std::uint32_t open_connections = 0;
  std::uint32_t busy_slots = 0;
  std::uint32_t queued_requests = 0;
  /** Time since the backend's process started. */
  std::uint32_t uptime_ms = 0;
  /** Wall-clock time of the probe [ms since the Unix epoch]. */
  std::uint64_t measured_at_ms = 0;

  auto fields() {
    return std::tie(backend, reachable, draining, open_connections, busy_slots, queued_requests,
                    uptime_ms, measured_at_ms);
  }
  bool operator==(const BackendReport&) const = default;
};

}  // namespace lugfork
