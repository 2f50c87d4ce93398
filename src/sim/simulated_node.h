#pragma once

#include <functional>
#include <memory>

#include "balancer/node.h"
#include "sim/simulated_network.h"

namespace lugfork {

/** What surrounds the simulated nodes: the platform and the back ends' load endpoints. */
class NodeSurroundings {
 public:
  virtual ~NodeSurroundings() = default;

  /** Reads the platform's configuration for a node; calls back in the node's process. */
  virtual void readConfiguration(SimulatedProcess& reader,
                                 std::function<void(const std::string&)> callback) = 0;
  virtual void readMachines(SimulatedProcess& reader,
                            std::function<void(const std::vector<Machine>&)> callback) = 0;
  virtual void probe(SimulatedProcess& prober, const Backend& backend,
                     std::function<void(const BackendReport&)> callback) = 0;
};

/** The daemon's own Node in a simulated process. */
class SimulatedNode : private NodeOutputs {
 public:
  SimulatedNode(NodeSettings settings, Endpoint data_address, SimulatedProcess& process,
                SimulatedNetwork& network, NodeSurroundings& surroundings, EventLog& log,
                std::uint64_t seed);

  /** Starts the process with a fresh Node; nothing of an earlier life remains. */
  void start();
  void kill();

  /** @return the node of this life; nullptr while the process is dead. */
  Node* node() { return node_.get(); }
  SimulatedProcess& process() { return process_; }
  Endpoint dataAddress() const { return data_address_; }
  const NodeSettings& settings() const { return settings_; }

  /** @return bytes of peer messages sent, all lives together. */
  std::uint64_t peerBytesSent() const { return peer_bytes_sent_; }

 private:
  void sendDatagram(Endpoint destination, const Datagram& datagram) override;
  void sendPeerMessage(Endpoint peer, const PeerMessage& message) override;
  void readPlatformConfiguration() override;
  void readPlatformMachines() override;
  void probeBackend(const Backend& backend) override;
  void scheduleTick();

  const NodeSettings settings_;
  const Endpoint data_address_;
  SimulatedProcess& process_;
  SimulatedNetwork& network_;
  NodeSurroundings& surroundings_;
  EventLog& log_;
  std::unique_ptr<RandomGenerator> random_;
  std::unique_ptr<Node> node_;
  std::uint64_t peer_bytes_sent_ = 0;
};

}  // namespace lugfork
