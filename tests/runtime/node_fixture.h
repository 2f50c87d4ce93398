#pragma once

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "balancer/node.h"

namespace lugfork {

inline nlohmann::json radioDocument() {
  std::ifstream file(std::string(LUGFORK_SOURCE_DIR) + "/examples/radio/configuration.json");
  return nlohmann::json::parse(file);
}

/** Records the datagrams that a node sends. */
class RecordedOutputs : public NodeOutputs {
 public:
  void sendDatagram(Endpoint, const Datagram& datagram) override { datagrams.push_back(datagram); }
  void sendPeerMessage(Endpoint, const PeerMessage&) override {}
  void readPlatformConfiguration() override {}
  void readPlatformMachines() override {}
  void probeBackend(const Backend&) override {}

  std::vector<Datagram> datagrams;
};

/** One node of the radio example without sockets and without peers. */
struct NodeFixture {
  NodeFixture() { node.onPlatformMachines({}); }

  RealTimeSource clock;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  RecordedOutputs outputs;
  NullEventLog log;
  Node node{settings(), clock, *random, outputs, log};

  static NodeSettings settings() {
    NodeSettings settings;
    settings.name = "charguia-balancer";
    settings.zone = "charguia";
    settings.peer_address = {0x7f000001, 1};
    return settings;
  }
};

}  // namespace lugfork
