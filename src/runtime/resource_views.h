#pragma once

#include <nlohmann/json.hpp>

#include "balancer/node.h"
#include "runtime/condition_tracker.h"
#include "runtime/peer_status_table.h"

namespace lugfork {

/**
 * Builds the resources of the API: each has `metadata` (kind, name, id), `spec` (what is declared,
 * with the version that declares it) and `status` (what this node sees, with conditions).
 */
class ResourceViews {
 public:
  ResourceViews(const Node& node, const PeerStatusTable& peers, const TimeSource& time_source)
      : node_(node), peers_(peers), conditions_(time_source) {}

  /** The platform's list, which declares the nodes. */
  void setMachines(std::vector<Machine> machines) { machines_ = std::move(machines); }

  /** Notes the conditions of all resources, so that their times are right between reads. */
  void observeAll();

  /** @return true for zones, services, backends and nodes. */
  static bool isCollection(const std::string& name);

  /** @return the resources of a collection; the configuration must be in force. */
  nlohmann::json collection(const std::string& name);

  /** @return how far the version in force here is in force on the known peers. */
  nlohmann::json spread() const;

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
