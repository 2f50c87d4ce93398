#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balancer/node.h"

/**
 * Baseline data paths without placement tokens, for comparison. They use the configuration and the
 * load table of the node whose data path they replace.
 */
namespace lugfork {

/** How balancers route in a simulation. */
enum class RouterKind {
  /** The data path of the daemon, with placement tokens. */
  Token,
  /** A flow table in each balancer; Maglev hashing over its view for flows not in the table. */
  MaglevTable,
  /** Stateless weighted rendezvous hashing over each balancer's view. */
  Rendezvous,
};

/** @return the names of the router kinds, in the order of the enumerators. */
const std::vector<std::string>& routerKindNames();

/** Chooses the backend of each datagram from its flow and the balancer's view only. */
class BaselineRouter {
 public:
  virtual ~BaselineRouter() = default;

  /** Handles one datagram from a client, the fabric or a backend. */
  virtual void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) = 0;
};

/** @return the baseline router; nullptr for RouterKind::Token. */
std::unique_ptr<BaselineRouter> makeBaselineRouter(RouterKind kind, const Node& node,
                                                   const TimeSource& time_source,
                                                   DatagramSender& sender);

}  // namespace lugfork
