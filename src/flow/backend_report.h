#pragma once

#include <cstdint>

#include "common/ids.h"
#include "common/time_source.h"

namespace lugfork {

/** Health and load of one back end as one probe saw it. */
struct BackendReport {
  BackendId backend;
  /** The probe got an answer. */
  bool reachable = false;
  /** The back end's own word that it is leaving. */
  bool draining = false;
  std::uint32_t open_connections = 0;
  std::uint32_t busy_slots = 0;
  std::uint32_t queued_requests = 0;
  /** Time since the back end's process started. */
  std::uint32_t uptime_ms = 0;
  /** Wall-clock time of the probe, in milliseconds since the Unix epoch. */
  std::uint64_t measured_at_ms = 0;

  auto fields() {
    return std::tie(backend, reachable, draining, open_connections, busy_slots, queued_requests,
                    uptime_ms, measured_at_ms);
  }
  bool operator==(const BackendReport&) const = default;
};

}  // namespace lugfork
