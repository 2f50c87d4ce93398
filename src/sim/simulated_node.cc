#include "sim/simulated_node.h"

#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

constexpr Duration kTickInterval = milliseconds(20);

}  // namespace

SimulatedNode::SimulatedNode(NodeSettings settings, Endpoint data_address,
                             SimulatedProcess& process, SimulatedNetwork& network,
                             NodeEnvironment& environment, EventLog& log, std::uint64_t seed,
                             RouterKind router)
    : settings_(std::move(settings)),
      data_address_(data_address),
      process_(process),
      network_(network),
      environment_(environment),
      log_(log),
      random_(makeSeededRandom(seed)),
      router_(router) {
  network_.attachDatagrams(
      data_address_, process_,
      [this](std::span<const std::uint8_t> bytes, Endpoint from) { onDatagram(bytes, from); });
  network_.attachPeers(
      settings_.peer_address, process_,
      [this](Endpoint from, const PeerMessage& message) { node_->onPeerMessage(from, message); });
}

void SimulatedNode::start() {
  process_.start();
  NodeOutputs& outputs = *this;
  node_ = std::make_unique<Node>(settings_, process_.timeSource(), *random_, outputs, log_);
  baseline_ = makeBaselineRouter(router_, *node_, process_.timeSource(), outputs);
  node_->onTick();
  scheduleTick();
}

void SimulatedNode::kill() {
  process_.kill();
  baseline_.reset();
  node_.reset();
  holds_output_ = false;
  held_output_.clear();
}

void SimulatedNode::releaseOutput() {
  holds_output_ = false;
  std::vector<std::function<void()>> held;
  held.swap(held_output_);
  for (const std::function<void()>& send : held) {
    send();
  }
}

void SimulatedNode::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  if (baseline_ != nullptr) {
    baseline_->onDatagram(bytes, from);
  } else {
    node_->onDatagram(bytes, from);
  }
}

void SimulatedNode::sendOrHold(std::function<void()> send) {
  if (holds_output_) {
    held_output_.push_back(std::move(send));
  } else {
    send();
  }
}

void SimulatedNode::sendDatagram(Endpoint destination, const Datagram& datagram) {
  sendOrHold([this, destination, bytes = encodeDatagram(datagram)] {
    network_.sendDatagram(process_, data_address_, destination, bytes);
  });
}

void SimulatedNode::sendPeerMessage(Endpoint peer, const PeerMessage& message) {
  sendOrHold([this, peer, message] {
    peer_bytes_sent_ += network_.sendPeerMessage(process_, settings_.peer_address, peer, message);
  });
}

void SimulatedNode::readPlatformConfiguration() {
  environment_.readConfiguration(
      process_, [this](const std::string& text) { node_->onPlatformConfiguration(text); });
}

void SimulatedNode::readPlatformMachines() {
  environment_.readMachines(process_, [this](const std::vector<Machine>& machines) {
    node_->onPlatformMachines(machines);
  });
}

void SimulatedNode::probeBackend(const Backend& backend) {
  environment_.probe(process_, backend,
                     [this](const BackendReport& report) { node_->onBackendReport(report); });
}

void SimulatedNode::scheduleTick() {
  process_.runAfter(kTickInterval, [this] {
    node_->onTick();
    scheduleTick();
  });
}

}  // namespace lugfork
