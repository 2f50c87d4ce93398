#pragma once

#include <functional>
#include <memory>

#include "balancer/node.h"
#include "sim/baseline_router.h"
#include "sim/simulated_network.h"

namespace lugfork {

/** Environment of the simulated nodes: the platform and the backends' load endpoints. */
class NodeEnvironment {
 public:
  virtual ~NodeEnvironment() = default;

  /** Reads the platform's configuration; the callback runs in the reader's process. */
  virtual void readConfiguration(SimulatedProcess& reader,
                                 std::function<void(const std::string&)> callback) = 0;
  virtual void readMachines(SimulatedProcess& reader,
                            std::function<void(const std::vector<Machine>&)> callback) = 0;
  virtual void probe(SimulatedProcess& prober, const Backend& backend,
                     std::function<void(const BackendReport&)> callback) = 0;
};

/** The Node of the daemon in a simulated process. */
class SimulatedNode : private NodeOutputs {
 public:
  SimulatedNode(NodeSettings settings, Endpoint data_address, SimulatedProcess& process,
                SimulatedNetwork& network, NodeEnvironment& environment, EventLog& log,
                std::uint64_t seed, RouterKind router = RouterKind::Token);

  /** Starts the process with a new Node, without state of an earlier incarnation. */
  void start();
  void kill();

  /** Holds all output, as if the node were paused between its checks and its sends. */
  void holdOutput() { holds_output_ = true; }

  /** Sends the held output and ends holding. */
  void releaseOutput();

  /** @return the running node; nullptr while the process is killed. */
  Node* node() { return node_.get(); }
  SimulatedProcess& process() { return process_; }
  Endpoint dataAddress() const { return data_address_; }
  const NodeSettings& settings() const { return settings_; }

  /** @return the size of all peer messages sent, over all incarnations [bytes]. */
  std::uint64_t peerBytesSent() const { return peer_bytes_sent_; }

 private:
  void sendDatagram(Endpoint destination, const Datagram& datagram) override;
  void sendPeerMessage(Endpoint peer, const PeerMessage& message) override;
  void readPlatformConfiguration() override;
  void readPlatformMachines() override;
  void probeBackend(const Backend& backend) override;
  void scheduleTick();
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);

  /** Sends now, or on release while output is held. */
  void sendOrHold(std::function<void()> send);

  const NodeSettings settings_;
  const Endpoint data_address_;
  SimulatedProcess& process_;
  SimulatedNetwork& network_;
  NodeEnvironment& environment_;
  EventLog& log_;
  std::unique_ptr<RandomGenerator> random_;
  const RouterKind router_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<BaselineRouter> baseline_;
  bool holds_output_ = false;
  std::vector<std::function<void()>> held_output_;
  std::uint64_t peer_bytes_sent_ = 0;
};

}  // namespace lugfork
