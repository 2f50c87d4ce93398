#include "discovery/view_client.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"

namespace lugfork {
namespace {

constexpr std::uint16_t kPort = 9;
const Endpoint kSelf{1, 1};

Endpoint socketOf(std::uint32_t number) {
  return {number, kPort};
}

/** A body of about 5,000 bytes, in five parts. */
Bytes largeBody() {
  const auto random = makeSeededRandom(3);
  std::string noise(5000, ' ');
  for (char& byte : noise) {
    byte = static_cast<char>(random->next());
  }
  return encodeViewBody({{written("noise", 3, noise)}, 10, true, {}});
}

struct ClientHarness {
  void read(std::uint32_t peer) {
    client.readView({peer, 1}, 0, milliseconds(120),
                    [this](const Result<PeerView, PeerRefusal>& answer) {
                      ++answers;
                      has_view = answer.has_value();
                      cause = answer ? SourceError::NotFound : answer.error().cause;
                    });
  }

  /** @return the last request sent. */
  const ViewRequest& request() const { return std::get<ViewRequest>(sent.back().second); }

  /** Delivers the parts [first, end) of a body from a peer. */
  void sendParts(std::uint32_t peer, const Bytes& body, std::uint64_t hash, std::uint32_t first,
                 std::uint32_t end) {
    const std::uint64_t id = request().request;
    for (std::uint32_t part = first; part < end; ++part) {
      const std::size_t begin = std::size_t{part} * kPartBytes;
      const std::size_t size = std::min<std::size_t>(kPartBytes, body.size() - begin);
      const auto from = body.begin() + static_cast<std::ptrdiff_t>(begin);
      client.onPart({id,
                     {10, 50, true},
                     hash,
                     static_cast<std::uint32_t>(body.size()),
                     part,
                     Bytes(from, from + static_cast<std::ptrdiff_t>(size))},
                    socketOf(peer));
    }
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  std::vector<std::pair<Endpoint, ViewMessage>> sent;
  ViewClient client{{},
                    kSelf,
                    kPort,
                    [this](Endpoint to, const ViewMessage& message) { sent.emplace_back(to, message); },
                    scheduler,
                    time,
                    *random};
  int answers = 0;
  bool has_view = false;
  SourceError cause = SourceError::NotFound;
};

TEST_CASE("a transfer that a sender left incomplete is resumed from the next sender",
          "[view_client]") {
  ClientHarness harness;
  const Bytes body = largeBody();
  REQUIRE(partCount(static_cast<std::uint32_t>(body.size())) == 5);
  harness.read(2);
  harness.sendParts(2, body, hashBody(body), 0, 3);
  harness.scheduler.advance(milliseconds(400));
  REQUIRE(harness.answers == 1);
  harness.read(3);
  CHECK(harness.sent.back().first == socketOf(3));
  CHECK(harness.request().body_hash == hashBody(body));
  CHECK(harness.request().first_part == 3);
  SECTION("the remaining parts complete the view") {
    harness.sendParts(3, body, hashBody(body), 3, 5);
    CHECK(harness.answers == 2);
    CHECK(harness.has_view);
  }
  SECTION("partial data is dropped if the next sender has another body, even an older one") {
    const Bytes other = encodeViewBody({{written("other", 2)}, 5, true, {}});
    harness.sendParts(3, other, hashBody(other), 0, 1);
    CHECK(harness.answers == 2);
    CHECK(harness.has_view);
  }
}

TEST_CASE("a body with a wrong hash is rejected and none of its parts are kept", "[view_client]") {
  ClientHarness harness;
  const Bytes body = largeBody();
  harness.read(2);
  harness.sendParts(2, body, 4711, 0, 5);
  CHECK(harness.answers == 1);
  CHECK(harness.cause == SourceError::Malformed);
  CHECK(harness.client.malformedBodies() == 1);
  harness.scheduler.advance(seconds(2));
  CHECK(harness.answers == 1);
  harness.read(3);
  CHECK(harness.request().body_hash == 0);
  harness.sendParts(3, body, hashBody(body), 0, 5);
  CHECK(harness.has_view);
}

}  // namespace
}  // namespace lugfork
