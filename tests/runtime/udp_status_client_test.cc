#include "runtime/udp_status_client.h"

#include <catch2/catch.hpp>

#include "runtime/asio_scheduler.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kFirst = 0x7f000001;
constexpr std::uint32_t kSecond = 0x7f000002;
const StatusKey kKey = deriveStatusKey(std::array<std::uint8_t, 1>{7});

/** Two balancers that ask each other on one port number of two loopback addresses. */
struct StatusHarness {
  std::unique_ptr<UdpStatusClient> make(Endpoint address, const StatusKey& key) {
    return std::make_unique<UdpStatusClient>(
        io_context, address, key, StatusClientSettings(), [this] { return status; }, scheduler,
        *random);
  }

  void ask() {
    asking->askStatus({kSecond, 1}, [this](Result<ViewStatus, SourceError> result) {
      answer = std::move(result);
      io_context.stop();
    });
    io_context.run_for(std::chrono::seconds(20));
  }

  boost::asio::io_context io_context;
  AsioScheduler scheduler{io_context};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  ViewStatus status{12, 30, true};
  UdpEndpoint port_holder{io_context, {kFirst, 0}, [](std::span<const std::uint8_t>, Endpoint) {}};
  const std::uint16_t port = static_cast<std::uint16_t>(port_holder.localAddress().port);
  /** The port is free at other loopback addresses. */
  std::unique_ptr<UdpStatusClient> asking = make({0x7f000003, port}, kKey);
  std::optional<Result<ViewStatus, SourceError>> answer;
};

TEST_CASE("a balancer tells another how new its view is", "[udp_status_client]") {
  StatusHarness harness;
  const auto asked = harness.make({kSecond, harness.port}, kKey);
  harness.ask();
  REQUIRE(harness.answer.has_value());
  REQUIRE(*harness.answer);
  CHECK(harness.answer->value().position == 12);
  CHECK(harness.answer->value().serves_view);
}

TEST_CASE("silence and foreign keys end in no answer", "[udp_status_client]") {
  StatusHarness harness;
  std::unique_ptr<UdpStatusClient> foreign;
  SECTION("nobody is there") {}
  SECTION("another fleet's key") {
    foreign =
        harness.make({kSecond, harness.port}, deriveStatusKey(std::array<std::uint8_t, 1>{8}));
  }
  harness.ask();
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->error() == SourceError::NoAnswer);
}

}  // namespace
}  // namespace lugfork
