#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balancer/node.h"

/**
 * Data paths without placement tokens, to measure against: they see the same configuration and the
 * same load table as the node that they stand in for.
 */
namespace lugfork {

/** How balancers route in a simulation. */
enum class RouterKind {
  /** The daemon's own data path. */
  Token,
  /** A flow table at each balancer, and Maglev hashing over its view for flows not in it. */
  MaglevTable,
  /** Weighted rendezvous hashing over each balancer's view; no state. */
  Rendezvous,
};

/** Names of the kinds, in their order. */
const std::vector<std::string>& routerKindNames();

/** Chooses the back end of each datagram from its flow and the balancer's view alone. */
class BaselineRouter {
 public:
  virtual ~BaselineRouter() = default;

  /** Handles one datagram from a caller, the fabric or a back end. */
  virtual void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) = 0;
};

/** @return the baseline; nullptr for RouterKind::Token. */
std::unique_ptr<BaselineRouter> makeBaselineRouter(RouterKind kind, const Node& node,
                                                   const TimeSource& time_source,
                                                   DatagramSender& sender);

}  // namespace lugfork
