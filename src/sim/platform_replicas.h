#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "balancer/machine_list.h"
#include "config/configuration.h"
#include "sim/platform_model.h"
#include "sim/simulated_network.h"

namespace lugfork {

/** Replicas of the platform's services, one process each. Each read goes to a random replica. */
class PlatformReplicas {
 public:
  /** Longest wait of a reader for an answer. */
  static constexpr Duration kReadTimeout = milliseconds(500);

  PlatformReplicas(EventQueue& queue, SimulatedNetwork& network, RandomGenerator& random)
      : queue_(queue), network_(network), random_(random) {}

  /** Adds a replica in a zone, with the given initial document. */
  void add(const std::string& zone, const std::string& configuration);

  std::size_t size() const { return replicas_.size(); }

  /** Begins or ends an outage of one replica. */
  void setOutage(std::size_t replica, bool outage);

  /** Makes the replica answer with its present state until it is unfrozen. */
  void freeze(std::size_t replica) { replicas_[replica]->frozen_since = queue_.now(); }
  void unfreeze(std::size_t replica) { replicas_[replica]->frozen_since.reset(); }

  /** Publishes a document with a higher version at one replica. */
  void publish(std::size_t replica, const std::string& document);

  /** Sets the list of machines at all replicas. */
  void setMachines(const std::vector<Machine>& machines);

  void readConfiguration(SimulatedProcess& reader,
                         std::function<void(const std::string&)> callback);
  void readMachines(SimulatedProcess& reader,
                    std::function<void(const std::vector<Machine>&)> callback);

 private:
  struct Replica {
    std::unique_ptr<SimulatedProcess> process;
    std::unique_ptr<PlatformModel> model;
    std::optional<MonotonicTime> frozen_since;
  };
  /** Answer of the platform; empty during an outage. */
  using Reply = std::optional<std::string>;

  /** Reads one text from a random replica. */
  void read(SimulatedProcess& reader, const std::string& (PlatformModel::*text)() const,
            std::function<void(const std::string&)> callback);

  EventQueue& queue_;
  SimulatedNetwork& network_;
  RandomGenerator& random_;
  std::vector<std::unique_ptr<Replica>> replicas_;
};

}  // namespace lugfork
