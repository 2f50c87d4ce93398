#include <catch2/catch.hpp>
#include <numeric>

#include "runtime/node_fixture.h"
#include "wire/datagram_codec.h"

namespace lugfork {
namespace {

constexpr Endpoint kFabric{0x7f000001, 20001};
constexpr Endpoint kClient{0x7f000001, 40000};

std::uint64_t codecDrops(const Node& node) {
  const auto& drops = node.flowCounters().drops_by_codec_error;
  return std::accumulate(drops.begin(), drops.end(), std::uint64_t{0});
}

TEST_CASE("a malformed datagram is dropped and counted, and nothing is sent in response") {
  struct Row {
    const char* name;
    Bytes bytes;
  };
  Bytes truncated = encodeDatagram(Sprayed{kClient, Bytes(100, 1)});
  truncated.resize(truncated.size() / 2);
  Bytes trailing = encodeDatagram(Open{kFabric, {}});
  trailing.push_back(0);
  const Row rows[] = {
      {"empty", {}},
      {"random bytes", {0xde, 0xad, 0xbe, 0xef}},
      {"truncated", truncated},
      {"trailing byte", trailing},
      {"oversized", Bytes(kMaxDatagramBytes + 1, 0x90)},
      {"largest UDP payload", Bytes(65507, 0xff)},
      {"malformed inside the fabric's envelope", encodeDatagram(Sprayed{kClient, Bytes(9, 0xc1)})},
  };
  NodeFixture fixture;
  fixture.node.onPlatformConfiguration(radioDocument().dump());
  std::uint64_t expected_drops = 0;
  for (const Row& row : rows) {
    INFO(row.name);
    fixture.node.onDatagram(row.bytes, kFabric);
    CHECK(codecDrops(fixture.node) == ++expected_drops);
    CHECK(fixture.outputs.datagrams.empty());
  }
  CHECK(fixture.node.configuration().version() == ConfigVersion(1));
}

TEST_CASE("an invalid or older platform document leaves the configuration in force unchanged") {
  struct Row {
    const char* name;
    std::string document;
  };
  nlohmann::json older = radioDocument();
  older["version"] = 4;
  nlohmann::json invalid = radioDocument();
  invalid["version"] = 9;
  invalid["backends"][0]["zone"] = "nowhere";
  const Row rows[] = {
      {"older", older.dump()}, {"invalid", invalid.dump()}, {"not JSON", "{"}, {"empty", ""}};
  NodeFixture fixture;
  nlohmann::json in_force = radioDocument();
  in_force["version"] = 5;
  fixture.node.onPlatformConfiguration(in_force.dump());
  const std::string document = fixture.node.configuration().documentInForce();
  for (const Row& row : rows) {
    INFO(row.name);
    fixture.node.onPlatformConfiguration(row.document);
    CHECK(fixture.node.configuration().documentInForce() == document);
  }
}

TEST_CASE("an inconsistent delta from a peer leaves the configuration in force unchanged") {
  NodeFixture fixture;
  fixture.node.onPlatformConfiguration(radioDocument().dump());
  const std::string document = fixture.node.configuration().documentInForce();
  const ConfigurationId here = fixture.node.configuration().id();
  const ConfigurationId next{ConfigVersion(2), here.digest + 1};
  const ResourceRecord garbage{{ResourceKind::Backend, 1}, {0xc1, 0xff}};
  struct Row {
    const char* name;
    ConfigurationDelta delta;
  };
  const Row rows[] = {
      {"body that is no resource", {here, next, {garbage}, {}}},
      {"digest that does not match", {here, next, {}, {}}},
      {"removal of a zone in use", {here, next, {}, {{ResourceKind::Zone, 1}}}},
      {"from a version never held", {{ConfigVersion(7), 1}, {ConfigVersion(8), 2}, {}, {}}},
      {"to an older version", {here, {ConfigVersion(0), 0}, {}, {}}},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    fixture.node.onPeerMessage(kFabric, row.delta);
    CHECK(fixture.node.configuration().documentInForce() == document);
  }
}

}  // namespace
}  // namespace lugfork
