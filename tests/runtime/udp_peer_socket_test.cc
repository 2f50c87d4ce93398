#include "runtime/udp_peer_socket.h"

#include <catch2/catch.hpp>

#include "runtime/asio_scheduler.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kRequester = 0x7f000003;
constexpr std::uint32_t kResponder = 0x7f000002;
const PeerKey kKey = derivePeerKey(std::array<std::uint8_t, 1>{7});

/** A balancer on a loopback address, with a view. */
struct PeerNode : ViewOwner {
  PeerNode(boost::asio::io_context& io_context, Endpoint address, const PeerKey& key,
           Scheduler& scheduler)
      : socket(io_context, address, key),
        client(ViewClientSettings(), Endpoint{address.address, 1}, address.port, sender(),
               scheduler, time, *random),
        provider(ViewProviderSettings(), *this, directory, scheduler, time, sender()) {
    socket.setReceivers(&client, &provider);
    content.startFullRead();
    content.applyPage({{}, false, 1});
    content.finishFullRead();
  }

  ViewClient::Send sender() {
    return [this](Endpoint to, const ViewMessage& message) { socket.send(to, message); };
  }

  const ItemView& view() const override { return content; }
  ViewStatus viewStatus() const override { return {content.position(), 30, serves}; }

  /** Adds an item of incompressible data. */
  void fill(std::size_t bytes) {
    std::string noise(bytes, ' ');
    for (char& byte : noise) {
      byte = static_cast<char>(random->next());
    }
    content.apply({{"noise", noise, 12, 12}, false});
    content.setPosition(12);
  }

  RealTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  ItemView content;
  bool serves = true;
  PeerDirectory directory{{}, Endpoint{kResponder, 1}, {}, time, *random};
  UdpPeerSocket socket;
  ViewClient client;
  ViewProvider provider;
};

/** Balancers on the same port number of different loopback addresses. */
struct PeerHarness {
  std::unique_ptr<PeerNode> make(std::uint32_t address, const PeerKey& key = kKey) {
    return std::make_unique<PeerNode>(io_context, Endpoint{address, port}, key, scheduler);
  }

  void requestView(Revision after) {
    requester->client.readView({kResponder, 1}, after, milliseconds(500),
                               [this](Result<PeerView, PeerRefusal> result) {
                                 answer = std::move(result);
                                 io_context.stop();
                               });
    io_context.restart();
    io_context.run_for(std::chrono::seconds(20));
    REQUIRE(answer.has_value());
  }

  boost::asio::io_context io_context;
  AsioScheduler scheduler{io_context};
  UdpEndpoint port_holder{
      io_context, {0x7f000001, 0}, [](std::span<const std::uint8_t>, Endpoint) {}};
  /** Free on the other loopback addresses too. */
  const std::uint16_t port = static_cast<std::uint16_t>(port_holder.localAddress().port);
  std::unique_ptr<PeerNode> requester = make(kRequester);
  std::optional<Result<PeerView, PeerRefusal>> answer;
};

TEST_CASE("a balancer reads the view and the known peers of another balancer",
          "[udp_peer_socket]") {
  PeerHarness harness;
  const auto responder = harness.make(kResponder);
  responder->fill(100);
  responder->directory.onAnswer({5, 1});
  harness.requestView(0);
  REQUIRE(*harness.answer);
  CHECK(harness.answer->value().status.position == 12);
  CHECK(harness.answer->value().status.age_ms == 30);
  CHECK(harness.answer->value().is_whole);
  CHECK(harness.answer->value().changes.size() == 1);
  const std::vector<PeerInfo>& peers = harness.answer->value().peers;
  CHECK(std::count(peers.begin(), peers.end(), PeerInfo(Endpoint{5, 1})) == 1);
  // The requester is recorded under its control address.
  const auto known = responder->directory.recentPeers();
  CHECK(std::count(known.begin(), known.end(), Endpoint{kRequester, 1}) == 1);
}

TEST_CASE("a view of many parts is received completely", "[udp_peer_socket]") {
  PeerHarness harness;
  const auto responder = harness.make(kResponder);
  constexpr std::size_t kBytes = std::size_t{100} * kPartBytes;
  responder->fill(kBytes);
  harness.requestView(0);
  REQUIRE(*harness.answer);
  REQUIRE(harness.answer->value().changes.size() == 1);
  CHECK(harness.answer->value().changes[0].item.value.size() == kBytes);
}

TEST_CASE("a balancer without a view answers once its view is ready", "[udp_peer_socket]") {
  PeerHarness harness;
  const auto responder = harness.make(kResponder);
  responder->serves = false;
  harness.scheduler.callAfter(milliseconds(100), [&] {
    responder->fill(100);
    responder->serves = true;
    responder->provider.onViewReady();
  });
  harness.requestView(0);
  REQUIRE(*harness.answer);
  CHECK(harness.answer->value().status.position == 12);
}

TEST_CASE("the refusal cause distinguishes a balancer without a view from a silent one",
          "[udp_peer_socket]") {
  PeerHarness harness;
  std::unique_ptr<PeerNode> responder;
  auto cause = SourceError::NoAnswer;
  Revision after = 0;
  SECTION("no balancer at the address") {}
  SECTION("balancer with the key of another fleet") {
    responder = harness.make(kResponder, derivePeerKey(std::array<std::uint8_t, 1>{8}));
  }
  SECTION("full view requested from a balancer without a view") {
    responder = harness.make(kResponder);
    responder->serves = false;
    cause = SourceError::Unavailable;
  }
  SECTION("changes requested from a balancer without a view") {
    responder = harness.make(kResponder);
    responder->serves = false;
    after = 5;
    cause = SourceError::Unavailable;
  }
  harness.requestView(after);
  REQUIRE_FALSE(*harness.answer);
  CHECK(harness.answer->error().cause == cause);
}

TEST_CASE("invalid datagrams are counted and reported to the callback", "[udp_peer_socket]") {
  PeerHarness harness;
  const auto responder = harness.make(kResponder);
  std::size_t reported_bytes = 0;
  responder->socket.setInvalidDatagramCallback([&](Endpoint, std::size_t bytes, CodecError) {
    reported_bytes = bytes;
    harness.io_context.stop();
  });
  harness.port_holder.sendBytes({kResponder, harness.port}, Bytes{1, 2, 3});
  harness.io_context.run_for(std::chrono::seconds(20));
  CHECK(reported_bytes == 3);
  CHECK(responder->socket.invalidDatagrams() == 1);
}

}  // namespace
}  // namespace lugfork
