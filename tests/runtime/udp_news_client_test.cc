#include "runtime/udp_news_client.h"

#include <catch2/catch.hpp>

#include "runtime/asio_scheduler.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kFirst = 0x7f000001;
constexpr std::uint32_t kSecond = 0x7f000002;
const NewsKey kKey = deriveNewsKey(std::array<std::uint8_t, 1>{7});

/** Two balancers that ask each other on one port number of two loopback addresses. */
struct NewsHarness {
  std::unique_ptr<UdpNewsClient> make(Endpoint address, const NewsKey& key) {
    return std::make_unique<UdpNewsClient>(
        io_context, address, key, NewsClientSettings(),
        [this](Revision after) {
          asked_after = after;
          return ViewNews{status, {}, after, false, 0};
        },
        scheduler, *random);
  }

  void ask() {
    asking->askNews({kSecond, 1}, 3, [this](Result<ViewNews, SourceError> result) {
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
  std::unique_ptr<UdpNewsClient> asking = make({0x7f000003, port}, kKey);
  std::optional<Result<ViewNews, SourceError>> answer;
  Revision asked_after = 0;
};

TEST_CASE("a balancer tells another how new its view is", "[udp_news_client]") {
  NewsHarness harness;
  const auto asked = harness.make({kSecond, harness.port}, kKey);
  harness.ask();
  REQUIRE(harness.answer.has_value());
  REQUIRE(*harness.answer);
  CHECK(harness.answer->value().status.position == 12);
  CHECK(harness.answer->value().status.serves_view);
  CHECK(harness.asked_after == 3);
}

TEST_CASE("silence and foreign keys end in no answer", "[udp_news_client]") {
  NewsHarness harness;
  std::unique_ptr<UdpNewsClient> foreign;
  SECTION("nobody is there") {}
  SECTION("another fleet's key") {
    foreign = harness.make({kSecond, harness.port}, deriveNewsKey(std::array<std::uint8_t, 1>{8}));
  }
  harness.ask();
  REQUIRE(harness.answer.has_value());
  CHECK(harness.answer->error() == SourceError::NoAnswer);
}

}  // namespace
}  // namespace lugfork
