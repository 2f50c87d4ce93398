#include "runtime/udp_endpoint.h"

#include <catch2/catch.hpp>
#include <cerrno>

namespace lugfork {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
const Endpoint kAnyPort{kLoopback, 0};

/** Fails like recvmmsg() on a system that does not support it. */
int receiveUnsupported(int, mmsghdr*, unsigned, int, timespec*) {
  errno = ENOSYS;
  return -1;
}

DatagramReader::ReceiveMany receiveCall(bool batched) {
  return batched ? &::recvmmsg : &receiveUnsupported;
}

/** An endpoint that reads in batches, and one that sends to it. */
struct BatchHarness {
  explicit BatchHarness(bool reads_batches) : batched(reads_batches) {}

  void send(std::size_t datagrams, std::size_t bytes = 4) {
    for (std::size_t index = 0; index < datagrams; ++index) {
      std::vector<std::uint8_t> content(bytes);
      content[0] = static_cast<std::uint8_t>(sent >> 8U);
      content[1] = static_cast<std::uint8_t>(sent);
      sender.sendBytes(receiver.localAddress(), content);
      ++sent;
    }
  }

  void start() {
    receiver.startReceivingBatches(
        [this](const ReceiveBatch& turn) {
          turns.push_back(turn);
          return further_turns > 0 && --further_turns >= 0;
        },
        [this] { return more_expected; }, receiveCall(batched));
  }

  /** Runs the event loop until that many datagrams were received in total. */
  void receive(std::size_t datagrams) {
    while (numbers.size() < datagrams && io_context.run_one_for(std::chrono::seconds(5)) > 0) {
    }
    io_context.poll();
  }

  const bool batched;
  boost::asio::io_context io_context;
  std::vector<std::size_t> numbers;
  std::vector<std::size_t> sizes;
  std::vector<Endpoint> senders;
  std::vector<ReceiveBatch> turns;
  int further_turns = 0;
  bool more_expected = true;
  std::size_t sent = 0;
  UdpEndpoint sender{io_context, kAnyPort, [](std::span<const std::uint8_t>, Endpoint) {}};
  UdpEndpoint receiver{io_context, kAnyPort,
                       [this](std::span<const std::uint8_t> bytes, Endpoint from) {
                         numbers.push_back(bytes[0] * 256U + bytes[1]);
                         sizes.push_back(bytes.size());
                         senders.push_back(from);
                       },
                       UdpEndpoint::ReceiveStart::Deferred};
};

std::vector<std::size_t> numbersBelow(std::size_t count) {
  std::vector<std::size_t> numbers(count);
  for (std::size_t index = 0; index < count; ++index) {
    numbers[index] = index;
  }
  return numbers;
}

TEST_CASE("batches deliver all datagrams in order", "[udp_endpoint]") {
  const bool batched = GENERATE(true, false);
  BatchHarness harness(batched);
  harness.send(100);
  harness.start();
  harness.receive(100);
  CHECK(harness.numbers == numbersBelow(100));
  CHECK(harness.senders == std::vector<Endpoint>(100, harness.sender.localAddress()));
  REQUIRE(harness.turns.size() == 4);
  CHECK(harness.turns[0].datagrams == DatagramReader::kMaxBatchDatagrams);
  CHECK_FALSE(harness.turns[0].is_empty);
  CHECK(harness.turns[3].datagrams == 4);
  CHECK(harness.turns[3].is_empty);
  SECTION("datagrams sent after the first batches are delivered too") {
    harness.send(3);
    harness.receive(103);
    harness.send(40);
    harness.receive(143);
    CHECK(harness.numbers == numbersBelow(143));
  }
}

TEST_CASE("after a full batch the socket is read again", "[udp_endpoint]") {
  const bool batched = GENERATE(true, false);
  BatchHarness harness(batched);
  harness.send(DatagramReader::kMaxBatchDatagrams);
  harness.start();
  harness.receive(DatagramReader::kMaxBatchDatagrams);
  REQUIRE(harness.turns.size() == 2);
  CHECK_FALSE(harness.turns[0].is_empty);
  CHECK(harness.turns[1].datagrams == 0);
  CHECK(harness.turns[1].is_empty);
}

TEST_CASE("the first datagram after a pause is read alone unless more are expected",
          "[udp_endpoint]") {
  BatchHarness harness(true);
  harness.start();
  harness.receive(0);
  harness.more_expected = false;
  harness.send(3);
  harness.receive(3);
  CHECK(harness.numbers == numbersBelow(3));
  REQUIRE(harness.turns.size() == 4);
  CHECK(harness.turns[1].datagrams == 1);
  CHECK_FALSE(harness.turns[1].is_certain);
  harness.more_expected = true;
  harness.send(40);
  harness.receive(43);
  CHECK(harness.numbers == numbersBelow(43));
  REQUIRE(harness.turns.size() == 6);
  CHECK(harness.turns[4].datagrams == 1 + DatagramReader::kMaxBatchDatagrams);
  CHECK_FALSE(harness.turns[4].is_empty);
  CHECK(harness.turns[5].datagrams == 7);
  CHECK(harness.turns[5].is_certain);
}

TEST_CASE("the turn handler is called again on request while the socket is empty",
          "[udp_endpoint]") {
  BatchHarness harness(true);
  harness.further_turns = 3;
  harness.start();
  harness.receive(0);
  CHECK(harness.turns.size() == 4);
}

TEST_CASE("a datagram longer than the buffer is truncated", "[udp_endpoint]") {
  const bool batched = GENERATE(true, false);
  BatchHarness harness(batched);
  harness.send(1, 5000);
  harness.send(1);
  harness.start();
  harness.receive(2);
  CHECK(harness.sizes == std::vector<std::size_t>{DatagramReader::kBufferBytes, 4});
}

TEST_CASE("the reader falls back to single reads if recvmmsg is not supported", "[udp_endpoint]") {
  const DatagramReader::Handler ignore = [](std::span<const std::uint8_t>, Endpoint) {};
  DatagramReader several;
  CHECK(several.read(-1, ignore).is_empty);
  CHECK_FALSE(several.readsSingly());
  DatagramReader single(&receiveUnsupported);
  CHECK(single.read(-1, ignore).is_empty);
  CHECK(single.readsSingly());
}

TEST_CASE("the receive buffer holds about the requested number of datagrams", "[udp_endpoint]") {
  BatchHarness harness(true);
  harness.receiver.limitReceiveBuffer(256);
  harness.send(4000);
  harness.start();
  harness.receive(256);
  CHECK(harness.numbers.size() >= 128);
  CHECK(harness.numbers.size() <= 1024);
}

}  // namespace
}  // namespace lugfork
