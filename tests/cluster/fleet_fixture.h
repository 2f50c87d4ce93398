#pragma once

#include "sim/in_process_fleet.h"

namespace lugfork {

/** Time after which all nodes of a started fleet have joined. */
inline constexpr Duration kSettleTime = seconds(8);

/** @return a running fleet in which every node has joined. */
inline std::unique_ptr<InProcessFleet> settledFleet(InProcessFleetSettings settings) {
  auto fleet = std::make_unique<InProcessFleet>(std::move(settings));
  fleet->startAll();
  fleet->run(kSettleTime);
  return fleet;
}

/** @return the fleet's configuration with the given version and one draining backend. */
inline Configuration changedConfiguration(const InProcessFleetSettings& settings,
                                          std::uint64_t version, std::size_t draining_backend) {
  Configuration configuration = InProcessFleet::makeConfiguration(settings);
  configuration.version = ConfigVersion(version);
  configuration.backends[draining_backend].draining = true;
  return configuration;
}

inline std::string documentOf(const Configuration& configuration) {
  return writeConfigurationDocument(configuration, SecretHandling::Include);
}

/** @return number of nodes that currently place new flows. */
inline std::size_t placingNodeCount(InProcessFleet& fleet) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    Node* node = fleet.node(index);
    count += node != nullptr && node->placementBlockedBy() == Reason::None ? 1 : 0;
  }
  return count;
}

}  // namespace lugfork
