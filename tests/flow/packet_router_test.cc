#include "flow/packet_router.h"

#include <catch2/catch.hpp>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Endpoint kUnknownService{0x0a140009, 443};

/** A packet router with two services and recorded output. */
struct PacketHarness : PacketSender, PacketRouterHost {
  struct Sent {
    BackendId backend;
    CompactToken token;
  };

  PacketHarness() { setConfiguration(twoServices()); }

  void setConfiguration(const Configuration& configuration) {
    decider.setConfiguration(viewOf(configuration));
    decider.setCompactTokens(&tokens);
    placement.setBackendHealth(&silence);
  }

  void forwardPacket(const Backend& backend, CompactToken token) override {
    sent.push_back({backend.id, token});
  }
  void resetClient(const FlowPacket& packet) override { resets.push_back(packet); }

  Reason placementBlockedBy() const override { return blocked_by; }
  void onNewerConfigurationSeen(ConfigVersion) override {}
  void onBackendDraining(BackendId) override {}
  bool viewIsFresh() const override { return view_is_fresh; }
  bool backendListIsComplete() const override { return backend_list_is_complete; }
  bool resetsFlowsOfDeadBackends() const override { return true; }
  bool requiresPeerEvidence() const override { return requires_peer_evidence; }
  ViewStamp viewStamp() const override { return {12, milliseconds(30)}; }
  void onHandshake(Duration duration) override { handshakes.push_back(duration); }
  void onRequest(BackendId) override { ++requests; }
  void onResponse(BackendId, Duration duration, ResponseTiming timing) override {
    responses.push_back(duration);
    timings.push_back(timing);
  }
  std::optional<DeathEvidence> peerDeathEvidence(BackendId backend,
                                                 std::uint16_t retransmissions) const override {
    const bool is_dead = backend == dead_by_peer_evidence && retransmissions >= 2;
    return is_dead ? std::optional(DeathEvidence{false, 3, 4, milliseconds(700)}) : std::nullopt;
  }

  FlowPacket packet(std::uint16_t port, Endpoint service = kListen) const {
    FlowPacket packet;
    packet.client = {kClient.address, port};
    packet.service = service;
    packet.sequence = 1000;
    return packet;
  }

  /** Sends the opening of a flow. @return the last packet forwarded. */
  Sent open(std::uint16_t port, std::uint32_t retransmissions = 0) {
    FlowPacket opening = packet(port);
    opening.opens = true;
    opening.acknowledged = retransmissions;
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
  FlowObserver observer{FlowObserverSettings{65536}, time};
  SilenceDetector silence{SilenceDetectorSettings(), time, log};
  CompactTokenCodec tokens{CompactTokenKey{9, 9, 9}};
  PacketRouter router{decider, silence, observer, tokens, *this, *this, log};
  Reason blocked_by = Reason::None;
  bool view_is_fresh = true;
  bool backend_list_is_complete = true;
  bool requires_peer_evidence = false;
  BackendId dead_by_peer_evidence;
  std::vector<Sent> sent;
  std::vector<FlowPacket> resets;
  std::vector<Duration> handshakes;
  std::vector<Duration> responses;
  int requests = 0;
  std::vector<ResponseTiming> timings;
};

TEST_CASE("any balancer forwards packets of an open flow by their token", "[packet_router]") {
  PacketHarness first;
  const auto opened = first.open(5000);
  PacketHarness second;
  second.data(5000, opened.token, 1001, 1);
  REQUIRE(second.sent.size() == 1);
  CHECK(second.sent[0].backend == opened.backend);
  CHECK(second.sent[0].token == opened.token);
}

TEST_CASE("a packet of an open flow without a token or with a foreign one is dropped",
          "[packet_router]") {
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

TEST_CASE("an opening to an unknown service is reset only if the view is up to date",
          "[packet_router]") {
  PacketHarness harness;
  FlowPacket opening = harness.packet(5000, kUnknownService);
  opening.opens = true;
  SECTION("view up to date") {
    harness.router.onPacket(opening);
    CHECK(harness.resets.size() == 1);
  }
  SECTION("view possibly outdated") {
    harness.view_is_fresh = false;
    harness.router.onPacket(opening);
    CHECK(harness.resets.empty());
    CHECK(harness.router.counters().drops_not_certain == 1);
  }
  SECTION("balancer still joining") {
    harness.blocked_by = Reason::Joining;
    harness.router.onPacket(opening);
    CHECK(harness.resets.empty());
  }
  CHECK(harness.sent.empty());
}

TEST_CASE("an opening without any backend is reset only once the backend list is complete",
          "[packet_router]") {
  PacketHarness harness;
  Configuration configuration = twoServices();
  configuration.backends.clear();
  harness.setConfiguration(configuration);
  FlowPacket opening = harness.packet(5000);
  opening.opens = true;
  harness.backend_list_is_complete = false;
  harness.router.onPacket(opening);
  CHECK(harness.resets.empty());
  harness.backend_list_is_complete = true;
  harness.router.onPacket(opening);
  CHECK(harness.resets.size() == 1);
}

TEST_CASE("open flows of a retired backend are forwarded until its address is reused",
          "[packet_router]") {
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

  SECTION("an abort by the client is not answered") {
    FlowPacket abort = harness.packet(5000);
    abort.token = opened.token;
    abort.aborts = true;
    harness.router.onPacket(abort);
    CHECK(harness.resets.size() == 1);
  }
}

TEST_CASE("a retransmitted opening is placed on another backend", "[packet_router]") {
  PacketHarness harness;
  const auto first = harness.open(5000);
  const auto second = harness.open(5000, 1);
  CHECK(second.backend != first.backend);
  CHECK(harness.router.counters().reopenings == 1);
}

/** Twenty backends of one service, so that one of them may be marked dead. */
Configuration manyBackends() {
  Configuration configuration = twoServices();
  configuration.backends.clear();
  for (std::uint32_t id = 1; id <= 20; ++id) {
    configuration.backends.push_back(makeBackend(id, ServiceId(1), kLac));
  }
  return configuration;
}

/** Opens flows until count of them are open at one backend; all handshakes are completed. */
std::vector<std::uint16_t> openAtOne(PacketHarness& harness, std::size_t count, BackendId& chosen) {
  std::map<BackendId, std::vector<std::uint16_t>> ports;
  for (std::uint16_t port = 1; port < 5000; ++port) {
    const auto opened = harness.open(port);
    harness.data(port, opened.token, 1001, 1);
    std::vector<std::uint16_t>& at_backend = ports[opened.backend];
    at_backend.push_back(port);
    if (at_backend.size() == count) {
      chosen = opened.backend;
      return at_backend;
    }
  }
  return {};
}

TEST_CASE("a backend that leaves an opening unanswered is excluded from placement",
          "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  const BackendId silent = harness.open(1).backend;
  harness.time.elapsed += milliseconds(300);
  for (std::uint16_t port = 2; port < 200; ++port) {
    const auto opened = harness.open(port);
    harness.data(port, opened.token, 1001, 1);
    CHECK(opened.backend != silent);
  }
  SECTION("until a client completes its handshake") {
    harness.data(1, harness.tokens.encode(harness.packet(1).flow(), silent), 1001, 1);
    harness.time.elapsed += milliseconds(300);
    bool chosen = false;
    for (std::uint16_t port = 200; port < 600; ++port) {
      chosen = chosen || harness.open(port).backend == silent;
    }
    CHECK(chosen);
  }
}

TEST_CASE("open flows of a backend that stopped answering are reset", "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  BackendId dead;
  const auto ports = openAtOne(harness, 3, dead);
  REQUIRE(ports.size() == 3);
  const auto retransmit = [&](std::uint16_t port, std::uint32_t sequence) {
    harness.data(port, harness.tokens.encode(harness.packet(port).flow(), dead), sequence, 1);
  };
  const bool slow_before = GENERATE(false, true);
  if (slow_before) {
    // A healthy backend has answered after as many retransmissions, so they are no evidence.
    harness.silence.onProgress(BackendId(20), 2);
  }
  for (const int wait_ms : {0, 200}) {
    harness.time.elapsed += milliseconds(wait_ms);
    for (const std::uint16_t port : ports) {
      retransmit(port, 1101);
    }
  }
  CHECK(harness.resets.empty());
  harness.time.elapsed += milliseconds(400);
  retransmit(ports[0], 1101);
  const std::size_t expected = slow_before ? 0 : 1;
  const auto& by_reason = harness.router.counters().resets_by_reason;
  CHECK(harness.resets.size() == expected);
  CHECK(by_reason[static_cast<std::size_t>(Reason::BackendGone)] == expected);
}

TEST_CASE("a flow that makes progress is not reset because of losses of other flows",
          "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  BackendId silent;
  const auto ports = openAtOne(harness, 4, silent);
  REQUIRE(ports.size() == 4);
  const auto send = [&](std::uint16_t port, std::uint32_t sequence, std::uint32_t acknowledged) {
    const CompactToken token = harness.tokens.encode(harness.packet(port).flow(), silent);
    harness.data(port, token, sequence, acknowledged);
  };
  for (const int wait_ms : {200, 400}) {
    harness.time.elapsed += milliseconds(wait_ms);
    for (std::size_t index = 0; index < 3; ++index) {
      send(ports[index], 1001, 1);
    }
  }
  REQUIRE(harness.silence.isDead(silent));
  harness.resets.clear();
  SECTION("next request") {
    send(ports[3], 1101, 1);
  }
  SECTION("first retransmission") {
    send(ports[3], 1001, 1);
  }
  SECTION("flow previously forwarded by another balancer") {
    send(40000, 7001, 9001);
    harness.time.elapsed += milliseconds(200);
    send(40000, 7001, 9001);
  }
  CHECK(harness.resets.empty());
}

TEST_CASE("if peer evidence is required, no flow is reset by local losses alone",
          "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  harness.requires_peer_evidence = true;
  BackendId silent;
  const auto ports = openAtOne(harness, 3, silent);
  for (const int wait_ms : {200, 400, 800}) {
    harness.time.elapsed += milliseconds(wait_ms);
    for (const std::uint16_t port : ports) {
      harness.data(port, harness.tokens.encode(harness.packet(port).flow(), silent), 1001, 1);
    }
  }
  CHECK(harness.resets.empty());
  harness.dead_by_peer_evidence = silent;
  harness.time.elapsed += milliseconds(400);
  harness.data(ports[0], harness.tokens.encode(harness.packet(ports[0]).flow(), silent), 1001, 1);
  CHECK(harness.resets.size() == 1);
}

TEST_CASE("retransmissions before the balancer was behind on packets are not counted",
          "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  const auto opened = harness.open(5000);
  harness.data(5000, opened.token, 1001, 1);
  harness.dead_by_peer_evidence = opened.backend;
  harness.time.elapsed += milliseconds(200);
  harness.data(5000, opened.token, 1001, 1);
  harness.time.elapsed += milliseconds(400);
  harness.observer.onBehind();
  harness.data(5000, opened.token, 1001, 1);
  harness.time.elapsed += milliseconds(160);
  harness.data(5000, opened.token, 1001, 1);
  CHECK(harness.resets.empty());
  harness.time.elapsed += milliseconds(400);
  harness.data(5000, opened.token, 1001, 1);
  CHECK(harness.resets.size() == 1);
}

/** A client retransmits a window whose packets were lost on the way here, not at the backend. */
TEST_CASE("immediate retransmission of a window is no evidence against a backend",
          "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  BackendId healthy;
  const auto ports = openAtOne(harness, 3, healthy);
  harness.time.elapsed += seconds(2);
  for (int round = 0; round < 2; ++round) {
    for (std::uint32_t packet = 0; packet < 16; ++packet) {
      for (const std::uint16_t port : ports) {
        const CompactToken token = harness.tokens.encode(harness.packet(port).flow(), healthy);
        harness.data(port, token, 1001 + 100 * packet, 1);
      }
    }
    harness.time.elapsed += milliseconds(2);
  }
  CHECK(harness.resets.empty());
}

TEST_CASE("data beyond the client's window is evidence that the backend answers",
          "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  BackendId healthy;
  const auto ports = openAtOne(harness, 2, healthy);
  const auto send = [&](std::uint16_t port, std::uint32_t sequence) {
    harness.data(port, harness.tokens.encode(harness.packet(port).flow(), healthy), sequence, 1);
  };
  for (int round = 0; round < 3; ++round) {
    harness.time.elapsed += milliseconds(300);
    send(ports[0], 1001);
    send(ports[0], 1001 + 20000 * (round + 1));
    send(ports[1], 1001);
  }
  CHECK(harness.resets.empty());
}

TEST_CASE("a single flow is not enough to mark a backend dead", "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  BackendId slow;
  const auto ports = openAtOne(harness, 1, slow);
  for (int round = 0; round < 6; ++round) {
    harness.time.elapsed += milliseconds(400);
    harness.data(ports[0], harness.tokens.encode(harness.packet(ports[0]).flow(), slow), 1001, 1);
  }
  CHECK(harness.resets.empty());
}

TEST_CASE("no flow is reset while most backends look silent", "[packet_router]") {
  PacketHarness harness;
  std::map<std::uint16_t, CompactToken> tokens;
  for (std::uint16_t port = 1; port <= 20; ++port) {
    tokens[port] = harness.open(port).token;
    harness.data(port, tokens[port], 1001, 1);
  }
  for (int round = 0; round < 5; ++round) {
    harness.time.elapsed += milliseconds(400);
    for (const auto& [port, token] : tokens) {
      harness.data(port, token, 1001, 1);
    }
  }
  CHECK(harness.resets.empty());
}

/** A link that delays packets causes retransmissions to all backends. */
TEST_CASE("no flow is reset while many backends look silent by one flow each", "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  BackendId healthy;
  const auto ports = openAtOne(harness, 3, healthy);
  std::map<std::uint16_t, CompactToken> flows;
  for (const std::uint16_t port : ports) {
    flows[port] = harness.tokens.encode(harness.packet(port).flow(), healthy);
  }
  for (std::uint16_t port = 40000; port < 40020; ++port) {
    flows[port] = harness.open(port).token;
  }
  for (int round = 0; round < 4; ++round) {
    for (const auto& [port, token] : flows) {
      harness.data(port, token, 1001, 1);
    }
    harness.time.elapsed += milliseconds(300);
  }
  CHECK(harness.resets.empty());
}

TEST_CASE("a retransmitting flow is reset if peers report its backend dead", "[packet_router]") {
  PacketHarness harness;
  harness.setConfiguration(manyBackends());
  const auto opened = harness.open(5000);
  harness.data(5000, opened.token, 1001, 1);
  harness.dead_by_peer_evidence = opened.backend;
  harness.time.elapsed += milliseconds(200);
  SECTION("not if the flow makes progress") {
    harness.data(5000, opened.token, 1101, 100);
    CHECK(harness.resets.empty());
    return;
  }
  harness.data(5000, opened.token, 1001, 1);
  CHECK(harness.resets.empty());
  harness.time.elapsed += milliseconds(400);
  SECTION("not if the flow is answered meanwhile") {
    harness.data(5000, opened.token, 1101, 100);
    CHECK(harness.resets.empty());
    return;
  }
  SECTION("not if the flow belongs to another backend") {
    harness.dead_by_peer_evidence = BackendId(opened.backend.value() % 20 + 1);
    harness.data(5000, opened.token, 1001, 1);
    CHECK(harness.resets.empty());
    return;
  }
  harness.data(5000, opened.token, 1001, 1);
  CHECK(harness.resets.size() == 1);
  CHECK(harness.router.counters().resets_by_peer_evidence == 1);
}

TEST_CASE("the response time is measured from the first packet of the request", "[packet_router]") {
  PacketHarness harness;
  const CompactToken token = harness.open(1).token;
  harness.data(1, token, 1001, 1);
  harness.time.elapsed += milliseconds(20);
  harness.data(1, token, 1101, 1);
  CHECK(harness.responses.empty());
  harness.time.elapsed += milliseconds(30);
  harness.data(1, token, 1201, 600);
  CHECK(harness.responses == std::vector<Duration>{milliseconds(50)});
  harness.time.elapsed += milliseconds(7);
  harness.data(1, token, 1301, 900);
  CHECK(harness.responses == std::vector<Duration>{milliseconds(50), milliseconds(7)});
  CHECK(harness.requests == 3);
  CHECK(harness.timings == std::vector<ResponseTiming>(2, ResponseTiming::Delayed));
}

TEST_CASE("the response time of a retransmitted request is marked as retransmitted",
          "[packet_router]") {
  PacketHarness harness;
  const CompactToken token = harness.open(1).token;
  harness.data(1, token, 1001, 1);
  harness.time.elapsed += milliseconds(200);
  harness.data(1, token, 1001, 1);
  harness.time.elapsed += milliseconds(20);
  harness.data(1, token, 1101, 600);
  REQUIRE(harness.responses.size() == 1);
  CHECK(harness.timings == std::vector<ResponseTiming>{ResponseTiming::Retransmitted});
}

TEST_CASE("the duration of a handshake is measured", "[packet_router]") {
  PacketHarness harness;
  const auto opened = harness.open(5000);
  harness.time.elapsed += milliseconds(7);
  harness.data(5000, opened.token, 1001, 1);
  CHECK(harness.handshakes == std::vector<Duration>{milliseconds(7)});
}

}  // namespace
}  // namespace lugfork
