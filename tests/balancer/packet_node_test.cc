#include "balancer/packet_node.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "discovery/discovery_fixture.h"

namespace lugfork {
namespace {

const std::string kPrefix = "platform/";
const std::string kStartedPrefix = "server started ";

/**
 * Decodes items whose value is "route", "server", "server started N", "draining" or "zone lac out
 * of service"; rejects others.
 */
class FakeDecoder : public RecordDecoder {
 public:
  Result<PlatformRecord, RecordProblem> decode(const std::string& key,
                                               const std::string& value) const override {
    if (value == "route") {
      return PlatformRecord(RouteTable{7, {{kListen, {{"listen", 1}}}}});
    }
    const bool has_start_time = value.starts_with(kStartedPrefix);
    if (value == "server" || value == "draining" || has_start_time) {
      BackendRecord record;
      record.started_ms = has_start_time ? std::stoull(value.substr(kStartedPrefix.size())) : 0;
      record.server_id = static_cast<unsigned char>(key.back());
      record.name = key;
      record.service = "listen";
      record.zone = "lac";
      record.address = addressOf(static_cast<std::uint32_t>(key.back()));
      record.state = value == "draining" ? BackendState::Draining : BackendState::Ready;
      return PlatformRecord(record);
    }
    if (value == "zone lac out of service") {
      return PlatformRecord(ZoneOutOfService{"lac"});
    }
    return RecordProblem{"broken"};
  }
};

struct PacketNodeHarness : PacketSender {
  explicit PacketNodeHarness(const PacketNodeSettings& settings = PacketNodeSettings())
      : node(settings, {kPrefix, "", "", decoder}, source, *this, scheduler, time, *random, log) {
    node.setCompletionCallback([this] { ++completions; });
    node.start();
  }

  void forwardPacket(const Backend& backend, CompactToken) override {
    forwarded.push_back(backend.name);
  }
  void resetClient(const FlowPacket&) override { ++resets; }

  void read(std::vector<Item> items) {
    source.answerPage(kPrefix, ItemPage{std::move(items), false, 10});
    source.answerWatch(kPrefix, ItemChanges{{}, 10});
    scheduler.advance(milliseconds(10));
  }

  void change(const ItemChange& change) {
    source.answerWatch(kPrefix, ItemChanges{{change}, change.item.revision});
    scheduler.advance(milliseconds(500));
  }

  void open(std::uint16_t port, Endpoint service = kListen) {
    FlowPacket packet;
    packet.client = {kClient.address, port};
    packet.service = service;
    packet.opens = true;
    node.onPacket(packet);
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  ManualSource source;
  NullEventLog log;
  FakeDecoder decoder;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PacketNode node;
  std::vector<std::string> forwarded;
  int resets = 0;
  int completions = 0;
};

TEST_CASE("node is ready once routes and backends are known", "[packet_node]") {
  PacketNodeHarness harness;
  CHECK_FALSE(harness.node.isReady());
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server")});
  CHECK(harness.node.isReady());
  CHECK(harness.completions == 1);
  harness.open(5000);
  CHECK(harness.forwarded == std::vector<std::string>{"backends/a"});
}

TEST_CASE("node becomes ready if the first routes arrive after the first full read",
          "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("backends/a", 3, "server")});
  CHECK_FALSE(harness.node.isReady());
  harness.open(5000);
  CHECK(harness.resets == 0);
  harness.change(written("routes/all", 12, "route"));
  CHECK(harness.node.isReady());
  CHECK(harness.completions == 1);
}

TEST_CASE("draining backend gets no new flows", "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server"),
                item("backends/b", 4, "server")});
  harness.change(written("backends/a", 12, "draining"));
  for (std::uint16_t port = 1; port <= 50; ++port) {
    harness.open(port);
  }
  CHECK(harness.forwarded == std::vector<std::string>(50, "backends/b"));
}

TEST_CASE("backend whose item expired during a store outage stays in use for two more seconds",
          "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server")});
  harness.source.answerWatch(kPrefix, SourceError::NoAnswer);
  harness.scheduler.advance(seconds(6));
  harness.change(deleted("backends/a", 12));
  harness.open(5000);
  CHECK(harness.forwarded == std::vector<std::string>{"backends/a"});
  SECTION("it writes its item again") {
    harness.change(written("backends/a", 13, "server"));
    harness.scheduler.advance(seconds(3));
    harness.open(5001);
    CHECK(harness.forwarded.size() == 2);
  }
  SECTION("it is removed after that") {
    harness.scheduler.advance(milliseconds(1600));
    harness.open(5001);
    CHECK(harness.forwarded.size() == 1);
  }
}

TEST_CASE("backend whose item is deleted while the store is reachable gets no new flows",
          "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server"),
                item("backends/b", 4, "server")});
  harness.scheduler.advance(seconds(2));
  harness.source.answerWatch(kPrefix, ItemChanges{{}, 11});
  harness.scheduler.advance(seconds(1));
  harness.change(deleted("backends/a", 12));
  for (std::uint16_t port = 1; port <= 50; ++port) {
    harness.open(port);
  }
  CHECK(harness.forwarded == std::vector<std::string>(50, "backends/b"));
}

TEST_CASE("node that starts without backends sends no resets until items had time to be rewritten",
          "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("routes/all", 2, "route")});
  harness.open(5000);
  CHECK(harness.resets == 0);
  harness.scheduler.advance(milliseconds(2100));
  harness.open(5000);
  CHECK(harness.resets == 1);
}

TEST_CASE(
    "with all zones out of service openings are reset at once until a zone is back in service",
    "[packet_node]") {
  const std::string key = "zones/lac";
  const std::string out = "zone lac out of service";
  PacketNodeHarness harness;
  std::vector<Item> items = {item("routes/all", 2, "route"), item("backends/a", 3, "server")};
  SECTION("zone is out of service before the node starts") {
    items.push_back(item(key, 4, out));
    harness.read(items);
    harness.scheduler.advance(seconds(2));
    harness.source.answerWatch(kPrefix, ItemChanges{{}, 11});
    harness.scheduler.advance(milliseconds(10));
  }
  SECTION("zone is taken out of service later") {
    harness.read(items);
    harness.open(5000);
    CHECK(harness.forwarded.size() == 1);
    harness.scheduler.advance(seconds(2));
    harness.change(written(key, 12, out));
  }
  SECTION("zone is out of service, back in service and out of service again") {
    harness.read(items);
    harness.scheduler.advance(seconds(2));
    harness.change(written(key, 12, out));
    harness.change(deleted(key, 13));
    harness.open(5000);
    CHECK(harness.forwarded.size() == 1);
    harness.change(written(key, 14, out));
  }
  harness.forwarded.clear();
  harness.open(6000);
  CHECK(harness.forwarded.empty());
  CHECK(harness.resets == 1);
  CHECK(harness.node.zonesOutOfService() == 1);
  harness.change(deleted(key, 20));
  harness.open(6001);
  CHECK(harness.forwarded.size() == 1);
  CHECK(harness.node.zonesOutOfService() == 0);
}

TEST_CASE("a full read without the out-of-service item puts the zone back in service",
          "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server"),
                item("zones/lac", 4, "zone lac out of service")});
  CHECK(harness.node.zonesOutOfService() == 1);
  harness.source.answerWatch(kPrefix, SourceError::HistoryGone);
  harness.source.answerPage(
      kPrefix,
      ItemPage{{item("routes/all", 2, "route"), item("backends/a", 3, "server")}, false, 20});
  harness.scheduler.advance(milliseconds(10));
  CHECK(harness.node.zonesOutOfService() == 0);
}

TEST_CASE("backend with an invalid item gets no new flows, and its open flows continue",
          "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server"),
                item("backends/b", 4, "server")});
  harness.change(written("backends/a", 12, "garbage"));
  harness.change(written("routes/all", 13, "garbage"));
  CHECK(harness.node.counters().records_invalid ==
        std::map<std::string, std::uint64_t>{{"broken", 2}});
  for (std::uint16_t port = 1; port <= 20; ++port) {
    harness.open(port);
  }
  CHECK(harness.forwarded == std::vector<std::string>(20, "backends/b"));
  harness.forwarded.clear();
  FlowPacket open;
  open.client = {kClient.address, 5000};
  open.service = kListen;
  open.token =
      CompactTokenCodec(PacketNodeSettings().token_key).encode(open.flow(), backendIdOfServer('a'));
  harness.node.onPacket(open);
  CHECK(harness.forwarded == std::vector<std::string>{"backends/a"});
  CHECK(harness.resets == 0);
  harness.change(written("backends/a", 14, "server"));
  harness.change(deleted("backends/b", 15));
  harness.open(6000);
  CHECK(harness.forwarded.back() == "backends/a");
}

TEST_CASE("restarted backend is not suspected for its earlier incarnation", "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server started 1000"),
                item("backends/b", 4, "draining")});
  FlowPacket packet;
  packet.client = {kClient.address, 5000};
  packet.service = kListen;
  packet.opens = true;
  harness.node.onPacket(packet);
  packet.acknowledged = 1;
  harness.node.onPacket(packet);
  CHECK(harness.node.locallySuspectedCount() == 1);
  SECTION("the new incarnation is not suspected") {
    harness.source.answerWatch(kPrefix,
                               ItemChanges{{written("backends/a", 12, "server started 2000")}, 12});
    harness.scheduler.advance(milliseconds(20));
    CHECK(harness.node.locallySuspectedCount() == 0);
  }
  SECTION("a further write of the same incarnation changes nothing") {
    harness.source.answerWatch(kPrefix,
                               ItemChanges{{written("backends/a", 12, "server started 1000")}, 12});
    harness.scheduler.advance(milliseconds(20));
    CHECK(harness.node.locallySuspectedCount() == 1);
  }
}

TEST_CASE("flows spread evenly if requests in flight are counted, and randomly otherwise",
          "[packet_node]") {
  PacketNodeSettings settings;
  settings.uses.count_in_flight = GENERATE(true, false);
  PacketNodeHarness harness(settings);
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server"),
                item("backends/b", 4, "server"), item("backends/c", 5, "server"),
                item("backends/d", 6, "server")});
  std::map<std::string, int> flows;
  for (std::uint16_t port = 1; port <= 40; ++port) {
    harness.scheduler.advance(milliseconds(30));
    harness.open(port);
    ++flows[harness.forwarded.back()];
  }
  const bool is_even = std::all_of(flows.begin(), flows.end(), [](const auto& entry) {
    return entry.second >= 9 && entry.second <= 11;
  });
  CHECK(is_even == settings.uses.count_in_flight);
}

TEST_CASE("suspect backends get new flows if they are not to be excluded", "[packet_node]") {
  PacketNodeSettings settings;
  settings.uses.exclude_suspects = GENERATE(true, false);
  settings.uses.count_in_flight = false;
  PacketNodeHarness harness(settings);
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server"),
                item("backends/b", 4, "server"), item("backends/c", 5, "server")});
  harness.open(5000);
  const std::string silent_backend = harness.forwarded.back();
  harness.scheduler.advance(milliseconds(300));
  harness.forwarded.clear();
  for (std::uint16_t port = 1; port <= 60; ++port) {
    FlowPacket packet;
    packet.client = {kClient.address, port};
    packet.service = kListen;
    packet.opens = true;
    harness.node.onPacket(packet);
  }
  const auto flows_to_silent =
      std::count(harness.forwarded.begin(), harness.forwarded.end(), silent_backend);
  CHECK((flows_to_silent == 0) == settings.uses.exclude_suspects);
}

TEST_CASE("backends reported silent by peers get no new flows if evidence is shared",
          "[packet_node]") {
  PacketNodeSettings settings;
  settings.zone = "lac";
  settings.uses.share_evidence = GENERATE(true, false);
  PacketNodeHarness harness(settings);
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server"),
                item("backends/b", 4, "server"), item("backends/c", 5, "server")});
  const BackendSilence silent_backend{backendIdOfServer('a'), 1, 0, 50, kNeverMs};
  harness.node.sharedEvidence().onDigest({"lac", 0, {{2, silent_backend}}, {}});
  for (std::uint16_t port = 1; port <= 60; ++port) {
    harness.open(port);
  }
  const auto flows_to_silent =
      std::count(harness.forwarded.begin(), harness.forwarded.end(), "backends/a");
  CHECK((flows_to_silent == 0) == settings.uses.share_evidence);
}

TEST_CASE("leaving node is not ready but still places new flows", "[packet_node]") {
  PacketNodeHarness harness;
  harness.read({item("routes/all", 2, "route"), item("backends/a", 3, "server")});
  harness.node.startLeaving();
  CHECK_FALSE(harness.node.isReady());
  harness.open(5000);
  CHECK(harness.forwarded.size() == 1);
}

}  // namespace
}  // namespace lugfork
