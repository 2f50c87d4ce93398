#include "discovery/evidence_exchange.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"
#include "flow/evidence_fixture.h"

namespace lugfork {
namespace {

constexpr std::uint16_t kControlPort = 1;
constexpr std::uint16_t kPeerPort = 7;
/** IP and UDP headers. */
constexpr std::size_t kHeaderBytes = 28;
const PeerKey kKey{};

struct Fleet;

/** A balancer of the fleet; the test sets its observations. */
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
  /** Handles no messages: stopped, or a version without support for them. */
  bool is_unresponsive = false;
  std::size_t bytes = 0;
  std::size_t messages = 0;
};

/** Balancers on one clock that exchange encoded messages. */
struct Fleet {
  FleetNode& add(const std::string& zone, LinkClass link = 3) {
    const auto address = static_cast<std::uint32_t>(nodes.size() + 1);
    nodes.push_back(std::make_unique<FleetNode>(*this, address, zone, link));
    return *nodes.back();
  }

  /** Adds all balancers to each other's directories, and starts them. */
  void start() {
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        node->directory.onContact({{other->address, kControlPort}, other->link});
      }
      node->exchange.start();
    }
  }

  void deliver(FleetNode& from, Endpoint to, const ViewMessage& message) {
    const Bytes datagram = encodeViewMessage(message, kKey);
    from.bytes += datagram.size() + kHeaderBytes;
    ++from.messages;
    FleetNode& receiver = *nodes.at(to.address - 1);
    if (receiver.is_unresponsive || from.is_unresponsive || arePartitioned(from, receiver)) {
      return;
    }
    receiver.bytes += datagram.size() + kHeaderBytes;
    const auto read = decodeViewMessage(datagram, kKey);
    REQUIRE(read);
    const Endpoint source{from.address, kPeerPort};
    // Messages are delivered after the present call, so that no balancer answers within a send.
    scheduler.callAfter(milliseconds(1), [&receiver, source, content = read.value()] {
      if (const auto* report = std::get_if<EvidenceReport>(&content)) {
        receiver.exchange.onReport(*report, source);
      } else if (const auto* digest = std::get_if<EvidenceDigest>(&content)) {
        receiver.exchange.onDigest(*digest, source);
      }
    });
  }

  bool arePartitioned(const FleetNode& one, const FleetNode& other) const {
    return one.zone != other.zone &&
           (one.zone == partitioned_zone || other.zone == partitioned_zone);
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
  std::string partitioned_zone = "none";
  std::vector<std::unique_ptr<FleetNode>> nodes;
};

FleetNode::FleetNode(Fleet& fleet, std::uint32_t node_address, const std::string& node_zone,
                     LinkClass link_class)
    : address(node_address),
      zone(node_zone),
      link(link_class),
      evidence(fleet.time, node_zone),
      directory({}, PeerInfo{{node_address, kControlPort}, link_class}, {}, fleet.time, *random),
      exchange(
          EvidenceExchangeSettings(), evidence.reporter, evidence.shared, directory,
          Endpoint{node_address, kControlPort}, kPeerPort,
          [this, &fleet](Endpoint to, const ViewMessage& message) {
            fleet.deliver(*this, to, message);
          },
          fleet.scheduler, fleet.time, fleet.log) {}

/** Two balancers with fast links and four with slow links in each of two zones. */
struct SmallFleet : Fleet {
  SmallFleet() {
    for (const char* zone : {"lac", "ariana"}) {
      for (int index = 0; index < 6; ++index) {
        add(zone, index < 2 ? 7 : 3);
      }
    }
    start();
  }

  /** @return one of the four balancers with slow links of the first zone. */
  FleetNode& slowLinkNode(std::size_t index) { return *nodes.at(2 + index); }
};

TEST_CASE(
    "a backend that two balancers report is suspect for a third one of the zone after three "
    "intervals",
    "[evidence_exchange]") {
  SmallFleet fleet;
  // Each balancer has reported a silent backend once, so that it receives digests.
  for (const auto& node : fleet.nodes) {
    node->evidence.recordAnswer(2);
    node->evidence.recordAnswer(3);
    node->evidence.recordAnswer(12);
    node->evidence.recordAnswer(13);
    node->evidence.recordUnanswered(30);
  }
  fleet.scheduler.advance(milliseconds(500));
  fleet.slowLinkNode(0).evidence.recordUnanswered(5);
  fleet.slowLinkNode(1).evidence.recordUnanswered(5);
  fleet.scheduler.advance(milliseconds(310));
  CHECK(fleet.slowLinkNode(2).evidence.isSuspect(5));
  CHECK(fleet.nodes[0]->evidence.isSuspect(5));
  SECTION("balancers of another zone don't suspect it") {
    for (std::size_t index = 6; index < 12; ++index) {
      CHECK_FALSE(fleet.nodes[index]->evidence.isSuspect(5));
    }
  }
  SECTION("an answer to one balancer ends the suspicion") {
    fleet.slowLinkNode(3).evidence.recordAnswer(5);
    fleet.scheduler.advance(milliseconds(310));
    CHECK_FALSE(fleet.slowLinkNode(2).evidence.isSuspect(5));
  }
}

TEST_CASE("evidence about a partition stays in the partitioned zone", "[evidence_exchange]") {
  SmallFleet fleet;
  fleet.partitioned_zone = "lac";
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
    CHECK(fleet.nodes[index]->evidence.shared.isInUnreachableZone(BackendId(20)));
    CHECK_FALSE(fleet.nodes[index]->evidence.shared.isInUnreachableZone(BackendId(10)));
    CHECK(fleet.nodes[6 + index]->evidence.shared.reportedSilence().empty());
  }
}

TEST_CASE("when the collector stops, the next in rank collects reports after the answer timeout",
          "[evidence_exchange]") {
  SmallFleet fleet;
  const auto stopped = static_cast<std::size_t>(GENERATE(0, 1));
  for (const auto& node : fleet.nodes) {
    node->evidence.recordAnswer(1);
    node->evidence.recordUnanswered(30);
  }
  fleet.scheduler.advance(milliseconds(500));
  fleet.nodes[stopped]->is_unresponsive = true;
  for (std::uint16_t round = 0; round < 15; ++round) {
    for (int index = 0; index < 3; ++index) {
      fleet.slowLinkNode(index).evidence.recordUnanswered(29, round);
    }
    fleet.scheduler.advance(milliseconds(100));
  }
  for (int index = 0; index < 2; ++index) {
    fleet.slowLinkNode(index).evidence.recordUnanswered(5);
  }
  fleet.scheduler.advance(milliseconds(700));
  CHECK(fleet.slowLinkNode(2).evidence.isSuspect(5));
}

TEST_CASE("balancers without support for the messages get no reports during a cooldown",
          "[evidence_exchange]") {
  SmallFleet fleet;
  for (std::size_t index = 1; index < fleet.nodes.size(); ++index) {
    fleet.nodes[index]->is_unresponsive = true;
  }
  FleetNode& alone = *fleet.nodes[0];
  alone.evidence.recordAnswer(1);
  for (int round = 0; round < 40; ++round) {
    alone.evidence.recordUnanswered(5, static_cast<std::uint16_t>(round));
    fleet.scheduler.advance(milliseconds(100));
  }
  // Eleven others, four at a time for two seconds each; limited by the byte rate of reports.
  CHECK(alone.bytes <= 4 * 350 + 500 + 400);
  CHECK(alone.evidence.local.isSuspect(BackendId(5)));
  CHECK_FALSE(alone.evidence.isSuspect(6));
}

TEST_CASE("nothing is sent in an hour without silent backends", "[evidence_exchange]") {
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

/** Several backends per second become silent for each of 140 balancers, as in a zone partition. */
TEST_CASE("with 140 balancers one with a slow link sends and receives at most 1 kB/s",
          "[evidence_exchange]") {
  Fleet fleet;
  for (const char* zone : {"lac", "ariana", "megrine"}) {
    for (int index = 0; index < (zone[0] == 'l' ? 48 : 46); ++index) {
      fleet.add(zone, index < 2 ? 7 : 3);
    }
  }
  fleet.start();
  fleet.partitioned_zone = "lac";
  const auto random = makeSeededRandom(3);
  constexpr std::size_t kSeconds = 10;
  for (std::size_t step = 0; step < kSeconds * 10; ++step) {
    for (const auto& node : fleet.nodes) {
      const auto backend = static_cast<std::uint32_t>(1 + random->below(30));
      if (backend % 3 == 0) {
        node->evidence.recordAnswer(backend);
      } else {
        node->evidence.recordUnanswered(backend, static_cast<std::uint16_t>(random->below(1000)));
      }
    }
    fleet.scheduler.advance(milliseconds(100));
  }
  std::size_t max_bytes = 0;
  std::size_t max_messages = 0;
  for (const auto& node : fleet.nodes) {
    max_bytes = std::max(max_bytes, node->link == 3 ? node->bytes : 0);
    max_messages = std::max(max_messages, node->messages);
  }
  INFO("bytes per second of a balancer with a slow link "
       << max_bytes / kSeconds << ", messages per second of one with a fast link "
       << max_messages / kSeconds);
  CHECK(max_bytes <= kSeconds * 1024);
  CHECK(max_messages / kSeconds <= 250);
}

}  // namespace
}  // namespace lugfork
