#include "balancer/node.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "flow/router_harness.h"
#include "wire/datagram_codec.h"

namespace lugfork {
namespace {

/** Counts what a node requests from its environment. */
class CountingOutputs : public NodeOutputs {
 public:
  void sendDatagram(Endpoint, const Datagram&) override {}
  void sendPeerMessage(Endpoint, const PeerMessage&) override {}
  void readPlatformConfiguration() override { ++configuration_reads; }
  void readPlatformMachines() override {}
  void probeBackend(const Backend&) override {}

  int configuration_reads = 0;
};

Configuration radioExample() {
  std::ifstream file(std::string(LUGFORK_SOURCE_DIR) + "/examples/radio/configuration.json");
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return parseConfigurationDocument(text).value();
}

TEST_CASE("200 tokens with an unknown key cause at most two reads of the platform") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(1);
  CountingOutputs outputs;
  NullEventLog log;
  NodeSettings settings;
  settings.name = "one";
  settings.zone = "lac";
  settings.configuration.min_platform_interval = seconds(600);
  Node node(settings, time, *random, outputs, log);
  const Configuration configuration = radioExample();
  node.onPlatformConfiguration(writeConfigurationDocument(configuration, SecretHandling::Include));
  time.elapsed += settings.join.timeout;
  node.onTick();
  REQUIRE(node.configuration().inForce() != nullptr);
  outputs.configuration_reads = 0;

  Placement placement;
  placement.key = FlowKey{{1, 2}, 0};
  TokenKey unknown_key;
  unknown_key.id = KeyId(999);
  const Bytes datagram = encodeDatagram(AnswerAck{configuration.services[0].address, placement.key,
                                                  sealToken(placement, unknown_key), 0});
  for (int sent_count = 0; sent_count < 200; ++sent_count) {
    node.onDatagram(datagram, kUnknownEndpoint);
    time.elapsed += milliseconds(20);
    node.onTick();
  }
  CHECK(outputs.configuration_reads <= 2);
}

}  // namespace
}  // namespace lugfork
