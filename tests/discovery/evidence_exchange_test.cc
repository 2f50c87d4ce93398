#include "discovery/evidence_exchange.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "flow/evidence_fixture.h"

namespace lugfork {
namespace {

constexpr std::uint16_t kControlPort = 1;
constexpr std::uint16_t kPeerPort = 7;
/** Beyond the datagram itself: IP and UDP. */
constexpr std::size_t kHeaders = 28;
const PeerKey kKey{};

struct Fleet;

/** A balancer of the fleet: what it sees is set by the test. */
struct FleetNode {
  FleetNode(Fleet& fleet, std::uint32_t node_address, const std::string& node_zone,
            LinkClass link_class);

  std::uint32_t address;
  std::string zone;
  LinkClass link;
  EvidenceNode evidence;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory;
  EvidenceExchange exchange;
  /** Takes no message: stopped, or of a version that does not know these. */
  bool is_deaf = false;
  std::size_t bytes = 0;
  std::size_t messages = 0;
};

/** Balancers on one clock, whose messages pass at once through the codec. */
struct Fleet {
  FleetNode& add(const std::string& zone, LinkClass link = 3) {
    const auto address = static_cast<std::uint32_t>(nodes.size() + 1);
    nodes.push_back(std::make_unique<FleetNode>(*this, address, zone, link));
    return *nodes.back();
  }

  /** All know each other, with their links, and begin. */
  void start() {
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        node->directory.onShown({{other->address, kControlPort}, other->link});
      }
      node->exchange.start();
    }
  }

  void carry(FleetNode& from, Endpoint to, const ViewMessage& message) {
    const Bytes datagram = encodeViewMessage(message, kKey);
    from.bytes += datagram.size() + kHeaders;
    ++from.messages;
    FleetNode& receiver = *nodes.at(to.address - 1);
    if (receiver.is_deaf || from.is_deaf || areCut(from, receiver)) {
      return;
    }
    receiver.bytes += datagram.size() + kHeaders;
    const auto read = decodeViewMessage(datagram, kKey);
    REQUIRE(read);
    const Endpoint source{from.address, kPeerPort};
    // Messages pass after the present call: nobody answers from within a send.
    scheduler.callAfter(milliseconds(1), [&receiver, source, content = read.value()] {
      if (const auto* report = std::get_if<EvidenceReport>(&content)) {
        receiver.exchange.onReport(*report, source);
      } else if (const auto* digest = std::get_if<EvidenceDigest>(&content)) {
        receiver.exchange.onDigest(*digest, source);
      }
    });
  }

  bool areCut(const FleetNode& one, const FleetNode& other) const {
    return one.zone != other.zone && (one.zone == cut_zone || other.zone == cut_zone);
  }

  std::size_t messages() const {
    std::size_t sum = 0;
    for (const auto& node : nodes) {
      sum += node->messages;
    }
    return sum;
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  NullEventLog log;
  std::string cut_zone = "none";
  std::vector<std::unique_ptr<FleetNode>> nodes;
};

FleetNode::FleetNode(Fleet& fleet, std::uint32_t node_address, const std::string& node_zone,
                     LinkClass link_class)
    : address(node_address),
      zone(node_zone),
      link(link_class),
      evidence(fleet.time, node_zone),
      directory({}, KnownPeer{{node_address, kControlPort}, link_class}, {}, fleet.time, *random),
      exchange(
          EvidenceExchangeSettings(), evidence.reporter, evidence.shared, directory,
          Endpoint{node_address, kControlPort}, kPeerPort,
          [this, &fleet](Endpoint to, const ViewMessage& message) {
            fleet.carry(*this, to, message);
          },
          fleet.scheduler, fleet.time, fleet.log) {}

/** Two strong and four weak balancers in each of two zones. */
struct SmallFleet : Fleet {
  SmallFleet() {
    for (const char* zone : {"lac", "ariana"}) {
      for (int index = 0; index < 6; ++index) {
        add(zone, index < 2 ? 7 : 3);
      }
    }
    start();
  }

  /** Both nodes lose a flow at each server near and far that is not among them. */
  FleetNode& weak(std::size_t index) { return *nodes.at(2 + index); }
};

TEST_CASE("what two balancers lost, a third of their zone knows after three looks",
          "[evidence_exchange]") {
  SmallFleet fleet;
  // Each has lost something once, so that it is told of what others lose.
  for (const auto& node : fleet.nodes) {
    node->evidence.recordAnswer(2);
    node->evidence.recordAnswer(3);
    node->evidence.recordAnswer(12);
    node->evidence.recordAnswer(13);
    node->evidence.recordUnanswered(30);
  }
  fleet.scheduler.advance(milliseconds(500));
  fleet.weak(0).evidence.recordUnanswered(5);
  fleet.weak(1).evidence.recordUnanswered(5);
  fleet.scheduler.advance(milliseconds(310));
  CHECK(fleet.weak(2).evidence.isSuspect(5));
  CHECK(fleet.nodes[0]->evidence.isSuspect(5));
  SECTION("but none of another zone") {
    for (std::size_t index = 6; index < 12; ++index) {
      CHECK_FALSE(fleet.nodes[index]->evidence.isSuspect(5));
    }
  }
  SECTION("until one gets an answer") {
    fleet.weak(3).evidence.recordAnswer(5);
    fleet.scheduler.advance(milliseconds(310));
    CHECK_FALSE(fleet.weak(2).evidence.isSuspect(5));
  }
}

TEST_CASE("a zone's cut leaves its evidence in it", "[evidence_exchange]") {
  SmallFleet fleet;
  fleet.cut_zone = "lac";
  for (std::size_t index = 0; index < 6; ++index) {
    FleetNode& node = *fleet.nodes[index];
    node.evidence.recordAnswer(1);
    node.evidence.recordAnswer(2);
  }
  fleet.scheduler.advance(milliseconds(300));
  for (std::uint32_t index = 0; index < 6; ++index) {
    fleet.nodes[index]->evidence.recordUnanswered(11 + index);
    fleet.nodes[index]->evidence.recordAnswer(1);
  }
  fleet.scheduler.advance(milliseconds(310));
  for (std::size_t index = 0; index < 6; ++index) {
    CHECK(fleet.nodes[index]->evidence.shared.isOutOfReach(BackendId(20)));
    CHECK_FALSE(fleet.nodes[index]->evidence.shared.isOutOfReach(BackendId(10)));
    CHECK(fleet.nodes[6 + index]->evidence.shared.reportedSilence().empty());
  }
}

TEST_CASE("when the one that sums stops, the next in rank does so after a second",
          "[evidence_exchange]") {
  SmallFleet fleet;
  const auto stopped = static_cast<std::size_t>(GENERATE(0, 1));
  for (const auto& node : fleet.nodes) {
    node->evidence.recordAnswer(1);
    node->evidence.recordUnanswered(30);
  }
  fleet.scheduler.advance(milliseconds(500));
  fleet.nodes[stopped]->is_deaf = true;
  for (std::uint16_t round = 0; round < 15; ++round) {
    for (int index = 0; index < 3; ++index) {
      fleet.weak(index).evidence.recordUnanswered(29, round);
    }
    fleet.scheduler.advance(milliseconds(100));
  }
  for (int index = 0; index < 2; ++index) {
    fleet.weak(index).evidence.recordUnanswered(5);
  }
  fleet.scheduler.advance(milliseconds(700));
  CHECK(fleet.weak(2).evidence.isSuspect(5));
}

TEST_CASE("old versions that do not know the messages are left alone for a while",
          "[evidence_exchange]") {
  SmallFleet fleet;
  for (std::size_t index = 1; index < fleet.nodes.size(); ++index) {
    fleet.nodes[index]->is_deaf = true;
  }
  FleetNode& alone = *fleet.nodes[0];
  alone.evidence.recordAnswer(1);
  for (int round = 0; round < 40; ++round) {
    alone.evidence.recordUnanswered(5, static_cast<std::uint16_t>(round));
    fleet.scheduler.advance(milliseconds(100));
  }
  // Eleven others, four at a time, each for two seconds; bounded by the bytes of reports.
  CHECK(alone.bytes <= 4 * 350 + 500 + 400);
  CHECK(alone.evidence.local.isSuspect(BackendId(5)));
  CHECK_FALSE(alone.evidence.isSuspect(6));
}

TEST_CASE("nothing is sent in a calm hour", "[evidence_exchange]") {
  SmallFleet fleet;
  for (int second = 0; second < 3600; ++second) {
    for (const auto& node : fleet.nodes) {
      const BackendId backend(1 + static_cast<std::uint32_t>(second) % 30);
      node->evidence.local.onOpening(backend);
      node->evidence.local.onProgress(backend);
    }
    fleet.scheduler.advance(seconds(1));
  }
  CHECK(fleet.messages() == 0);
}

/** Each of 140 balancers has several servers fall silent a second, as in a cut of its zone. */
TEST_CASE("with 140 balancers a weak one sends and gets at most a kilobyte a second",
          "[evidence_exchange]") {
  Fleet fleet;
  for (const char* zone : {"lac", "ariana", "megrine"}) {
    for (int index = 0; index < (zone[0] == 'l' ? 48 : 46); ++index) {
      fleet.add(zone, index < 2 ? 7 : 3);
    }
  }
  fleet.start();
  fleet.cut_zone = "lac";
  const auto random = makeSeededRandom(3);
  constexpr std::size_t kSeconds = 10;
  for (std::size_t step = 0; step < kSeconds * 10; ++step) {
    for (const auto& node : fleet.nodes) {
      const auto server = static_cast<std::uint32_t>(1 + random->below(30));
      if (server % 3 == 0) {
        node->evidence.recordAnswer(server);
      } else {
        node->evidence.recordUnanswered(server, static_cast<std::uint16_t>(random->below(1000)));
      }
    }
    fleet.scheduler.advance(milliseconds(100));
  }
  std::size_t most = 0;
  std::size_t most_messages = 0;
  for (const auto& node : fleet.nodes) {
    most = std::max(most, node->link == 3 ? node->bytes : 0);
    most_messages = std::max(most_messages, node->messages);
  }
  INFO("bytes a second of a weak node " << most / kSeconds << ", messages a second of a strong one "
                                        << most_messages / kSeconds);
  CHECK(most <= kSeconds * 1024);
  CHECK(most_messages / kSeconds <= 250);
}

}  // namespace
}  // namespace lugfork
