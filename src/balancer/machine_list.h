#pragma once

#include <string>
#include <vector>

#include "common/ids.h"
#include "common/result.h"

namespace lugfork {

/** One balancer as the platform's lagging list knows it. */
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

/** Reads the platform's machine list from JSON. @return the machines, or what is wrong. */
Result<std::vector<Machine>, std::string> parseMachineList(const std::string& json_text);

}  // namespace lugfork
