#include "flow/packet_router.h"

#include <catch2/catch.hpp>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Endpoint kUnknownService{0x0a140009, 443};

/** A packet router over the harness's two services, with a recorded output. */
struct PacketHarness : PacketSender, PacketRouterHost {
  struct Sent {
    BackendId backend;
    CompactToken token;
  };

  PacketHarness() { setConfiguration(twoServices()); }

  void setConfiguration(const Configuration& configuration) {
    decider.setConfiguration(viewOf(configuration));
    decider.setCompactTokens(&tokens);
  }

  void forwardPacket(const Backend& backend, CompactToken token) override {
    sent.push_back({backend.id, token});
  }
  void resetCaller(const FlowPacket& packet) override { resets.push_back(packet); }

  Reason placementBlockedBy() const override { return blocked_by; }
  void onNewerConfigurationSeen(ConfigVersion) override {}
  void onBackendDraining(BackendId) override {}
  bool viewIsFresh() const override { return fresh; }
  void onHandshake(Duration duration) override { handshakes.push_back(duration); }

  FlowPacket packet(std::uint16_t port, Endpoint service = kListen) const {
    FlowPacket packet;
    packet.caller = {kCaller.address, port};
    packet.service = service;
    packet.sequence = 1000;
    return packet;
  }

  /** Sends the opening of a flow. @return where it went. */
  Sent open(std::uint16_t port, std::uint32_t copy = 0) {
    FlowPacket opening = packet(port);
    opening.opens = true;
    opening.acknowledged = copy;
    router.onPacket(opening);
    REQUIRE_FALSE(sent.empty());
    return sent.back();
  }

  /** Sends data of an open flow. */
  void data(std::uint16_t port, CompactToken token, std::uint32_t sequence,
            std::uint32_t acknowledged) {
    FlowPacket later = packet(port);
    later.token = token;
    later.sequence = sequence;
    later.acknowledged = acknowledged;
    later.payload_bytes = 100;
    router.onPacket(later);
  }

  ManualTimeSource time;
  NullEventLog log;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  BackendLoadTable loads{LoadEstimateSettings(), time};
  PlacementEngine placement{PlacementSettings(), makePlacementPolicy("bounded_rendezvous"), loads,
                            time, *random};
  FlowDecider decider{FlowDeciderSettings(), time, placement, *this};
  FlowObserver observer{64, time};
  CompactTokenCodec tokens{CompactTokenKey{9, 9, 9}};
  PacketRouter router{decider, placement, observer, tokens, *this, *this, log};
  Reason blocked_by = Reason::None;
  bool fresh = true;
  std::vector<Sent> sent;
  std::vector<FlowPacket> resets;
  std::vector<Duration> handshakes;
};

TEST_CASE("any node forwards a later packet by its token", "[packet_router]") {
  PacketHarness first;
  const auto opened = first.open(5000);
  PacketHarness second;
  second.data(5000, opened.token, 1001, 1);
  REQUIRE(second.sent.size() == 1);
  CHECK(second.sent[0].backend == opened.backend);
  CHECK(second.sent[0].token == opened.token);
}

TEST_CASE("a later packet without or with a foreign token is dropped", "[packet_router]") {
  PacketHarness harness;
  const auto opened = harness.open(5000);
  harness.sent.clear();
  harness.data(5000, CompactToken{}, 1001, 1);
  harness.data(5001, opened.token, 1001, 1);
  FlowPacket other_service = harness.packet(5000, kIngest);
  other_service.token = opened.token;
  harness.router.onPacket(other_service);
  CHECK(harness.sent.empty());
  CHECK(harness.resets.empty());
  CHECK(harness.router.counters().drops_unknown_backend == 3);
}

TEST_CASE("an opening to no route is reset only where that is certain", "[packet_router]") {
  PacketHarness harness;
  FlowPacket opening = harness.packet(5000, kUnknownService);
  opening.opens = true;
  SECTION("certain") {
    harness.router.onPacket(opening);
    CHECK(harness.resets.size() == 1);
  }
  SECTION("the view may be old") {
    harness.fresh = false;
    harness.router.onPacket(opening);
    CHECK(harness.resets.empty());
    CHECK(harness.router.counters().drops_not_certain == 1);
  }
  SECTION("nothing is known yet") {
    harness.blocked_by = Reason::Joining;
    harness.router.onPacket(opening);
    CHECK(harness.resets.empty());
  }
  CHECK(harness.sent.empty());
}

TEST_CASE("open flows of a retired back end go on until its address is taken", "[packet_router]") {
  PacketHarness harness;
  const auto opened = harness.open(5000);
  Configuration configuration = twoServices();
  for (Backend& backend : configuration.backends) {
    backend.retired = backend.id == opened.backend;
  }
  harness.setConfiguration(configuration);
  harness.data(5000, opened.token, 1001, 1);
  CHECK(harness.sent.back().backend == opened.backend);
  CHECK(harness.resets.empty());

  harness.sent.clear();
  Backend successor = makeBackend(77, ServiceId(2), kLac);
  successor.address = addressOf(opened.backend.value());
  configuration.backends.push_back(successor);
  harness.setConfiguration(configuration);
  harness.data(5000, opened.token, 1101, 1);
  CHECK(harness.sent.empty());
  CHECK(harness.resets.size() == 1);

  SECTION("but a caller that gives up is not answered") {
    FlowPacket abort = harness.packet(5000);
    abort.token = opened.token;
    abort.aborts = true;
    harness.router.onPacket(abort);
    CHECK(harness.resets.size() == 1);
  }
}

TEST_CASE("a copy of an opening goes to another back end", "[packet_router]") {
  PacketHarness harness;
  const auto first = harness.open(5000);
  const auto second = harness.open(5000, 1);
  CHECK(second.backend != first.backend);
  CHECK(harness.router.counters().reopenings == 1);
}

TEST_CASE("the end of a handshake is timed", "[packet_router]") {
  PacketHarness harness;
  const auto opened = harness.open(5000);
  harness.time.elapsed += milliseconds(7);
  harness.data(5000, opened.token, 1001, 1);
  CHECK(harness.handshakes == std::vector<Duration>{milliseconds(7)});
}

}  // namespace
}  // namespace lugfork
