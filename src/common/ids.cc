#include "common/ids.h"

#include <xxhash.h>

#include <iomanip>
#include <sstream>

namespace lugfork {

std::string toString(const FlowId& flow) {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16) << flow.high << std::setw(16) << flow.low;
  return text.str();
}

std::string toString(const Endpoint& endpoint) {
  std::ostringstream text;
  text << (endpoint.address >> 24) << '.' << ((endpoint.address >> 16) & 0xff) << '.'
       << ((endpoint.address >> 8) & 0xff) << '.' << (endpoint.address & 0xff) << ':'
       << endpoint.port;
  return text.str();
}

NodeId nodeIdFromName(const std::string& name) {
  return NodeId(XXH3_64bits(name.data(), name.size()));
}

}  // namespace lugfork
