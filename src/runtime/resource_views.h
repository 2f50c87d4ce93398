#pragma once

#include <nlohmann/json.hpp>

#include "balancer/node.h"
#include "runtime/condition_tracker.h"
#include "runtime/peer_status_table.h"

namespace lugfork {

/**
 * Builds the resources of the API: each has `metadata` (kind, name, id), `spec` (the declared
 * configuration and its version) and `status` (as observed by this node, with conditions).
 */
class ResourceViews {
 public:
  ResourceViews(const Node& node, const PeerStatusTable& peers, const TimeSource& time_source)
      : node_(node), peers_(peers), conditions_(time_source) {}

  /** Sets the platform's list of machines, which declares the nodes. */
  void setMachines(std::vector<Machine> machines) { machines_ = std::move(machines); }

  /** Records the conditions of all resources, so that their start times don't depend on reads. */
  void observeAll();

  /** @return true for zones, services, backends and nodes. */
  static bool isCollection(const std::string& name);

  /** @return the resources of a collection; a configuration must be in force. */
  nlohmann::json collection(const std::string& name);

  /** @return how many known peers have the local version in force, and which don't. */
  nlohmann::json propagationStatus() const;

 private:
  nlohmann::json zone(const Zone& zone);
  nlohmann::json service(const Service& service);
  nlohmann::json backend(const Backend& backend);
  nlohmann::json self();
  nlohmann::json peer(const Machine& machine);
  nlohmann::json nodes();

  nlohmann::json condition(const std::string& resource, const std::string& type, bool holds,
                           const std::string& reason);
  std::string placementState(const Backend& backend) const;
  std::size_t placeableBackends(const Service& service) const;
  const Configuration& document() const { return node_.configuration().inForce()->document(); }
  std::uint64_t version() const { return node_.configuration().version().value(); }

  const Node& node_;
  const PeerStatusTable& peers_;
  ConditionTracker conditions_;
  std::vector<Machine> machines_;
};

}  // namespace lugfork
