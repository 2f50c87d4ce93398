#pragma once

#include <string>
#include <vector>

#include "common/ids.h"
#include "common/result.h"

namespace lugfork {

/** A balancer as listed by the platform, whose list lags behind. */
struct Machine {
  std::string name;
  std::string zone;
  /** Data path (UDP). */
  Endpoint data_address;
  /** Peer messages (ZeroMQ over TCP). */
  Endpoint peer_address;
  /** Resource API (HTTP). */
  Endpoint api_address;
  bool leaving = false;
};

/**
 * Parses the platform's machine list from JSON.
 * @return the machines, or an error description.
 */
Result<std::vector<Machine>, std::string> parseMachineList(const std::string& json_text);

}  // namespace lugfork
