#pragma once

#include <string>

#include "balancer/node.h"
#include "runtime/peer_transport.h"

namespace lugfork {

/** @return the node's metrics in the Prometheus text format. */
std::string renderMetrics(const Node& node, const PeerTransport& peers);

}  // namespace lugfork
