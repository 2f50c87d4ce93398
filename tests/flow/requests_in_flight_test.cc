#include "flow/requests_in_flight.h"

#include <catch2/catch.hpp>

#include "flow/flow_observer.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

const BackendId kFirst{1};
const BackendId kSecond{2};

FlowPacket packetOf(std::uint16_t port) {
  FlowPacket packet;
  packet.client = {kClient.address, port};
  packet.service = kListen;
  packet.sequence = 1000;
  return packet;
}

/** Passes packets of clients to a FlowObserver. */
struct Harness {
  void open(std::uint16_t port, BackendId backend) {
    FlowPacket packet = packetOf(port);
    packet.opens = true;
    observer.onPlaced(packet, backend);
  }
  void send(std::uint16_t port, BackendId backend, std::uint32_t acknowledged,
            std::uint16_t payload_bytes, std::uint32_t sequence = 1001) {
    FlowPacket packet = packetOf(port);
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.payload_bytes = payload_bytes;
    observer.onContinuation(packet, backend);
  }
  std::size_t count(BackendId backend) const { return observer.requestsInFlight().count(backend); }

  ManualTimeSource time;
  FlowObserver observer{FlowObserverSettings{65536}, time};
};

TEST_CASE("request counts from the opening until its answer", "[requests_in_flight]") {
  Harness harness;
  harness.open(5000, kFirst);
  CHECK(harness.count(kFirst) == 1);
  harness.send(5000, kFirst, 1, 0);
  harness.send(5000, kFirst, 1, 100);
  CHECK(harness.count(kFirst) == 1);
  harness.send(5000, kFirst, 600, 0, 1101);
  CHECK(harness.count(kFirst) == 0);
  harness.send(5000, kFirst, 600, 100, 1101);
  CHECK(harness.count(kFirst) == 1);
  CHECK(harness.count(kSecond) == 0);
}

TEST_CASE("retransmitted openings and data count once", "[requests_in_flight]") {
  Harness harness;
  harness.open(5000, kFirst);
  harness.open(5000, kFirst);
  harness.send(5000, kFirst, 1, 100);
  harness.send(5000, kFirst, 1, 100);
  CHECK(harness.count(kFirst) == 1);
}

TEST_CASE("retransmitted opening counts only at the backend that it is placed on",
          "[requests_in_flight]") {
  Harness harness;
  harness.open(5000, kFirst);
  harness.open(5000, kSecond);
  CHECK(harness.count(kFirst) == 0);
  CHECK(harness.count(kSecond) == 1);
}

TEST_CASE("flow that moves from another balancer counts from its next request",
          "[requests_in_flight]") {
  Harness harness;
  harness.send(5000, kFirst, 900, 0);
  CHECK(harness.count(kFirst) == 0);
  harness.send(5001, kFirst, 900, 100);
  CHECK(harness.count(kFirst) == 1);
}

TEST_CASE("removed flow no longer counts", "[requests_in_flight]") {
  Harness harness;
  harness.open(5000, kFirst);
  harness.observer.remove(packetOf(5000).flow());
  CHECK(harness.count(kFirst) == 0);
}

TEST_CASE("request without an observed end stops counting", "[requests_in_flight]") {
  Harness harness;
  SECTION("an opening without an answer") {
    harness.open(5000, kFirst);
    harness.time.elapsed += milliseconds(201);
  }
  SECTION("a request without an answer") {
    harness.open(5000, kFirst);
    harness.send(5000, kFirst, 1, 100);
    harness.time.elapsed += milliseconds(900);
    CHECK(harness.count(kFirst) == 1);
    harness.time.elapsed += milliseconds(101);
  }
  CHECK(harness.count(kFirst) == 0);
}

TEST_CASE("requests at removed backends are removed", "[requests_in_flight]") {
  Harness harness;
  harness.open(5000, kFirst);
  harness.open(5001, BackendId{99});
  harness.observer.retain(*viewOf(twoServices()));
  CHECK(harness.count(kFirst) == 1);
  CHECK(harness.observer.requestsInFlight().trackedBackends() == 1);
}

TEST_CASE("count of a backend is bounded", "[requests_in_flight]") {
  Harness harness;
  for (std::uint16_t port = 1; port <= 1000; ++port) {
    harness.open(port, kFirst);
  }
  CHECK(harness.count(kFirst) == 64);
}

}  // namespace
}  // namespace lugfork
