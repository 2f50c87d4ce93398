#include "discovery/peer_directory.h"

#include <catch2/catch.hpp>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Endpoint kOwn{1, 1};
const Endpoint kSeed{2, 1};

struct DirectoryHarness {
  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{4, seconds(60)}, kOwn, {kOwn, kSeed}, time, *random};
};

TEST_CASE("a seed is picked while no peer is known", "[peer_directory]") {
  DirectoryHarness harness;
  CHECK(harness.directory.pickRandom() == kSeed);
  harness.directory.onAnswer({3, 1});
  CHECK(harness.directory.pickRandom() == Endpoint{3, 1});
  harness.directory.onFailed({3, 1});
  CHECK(harness.directory.pickRandom() == kSeed);
}

TEST_CASE("a balancer is not a peer of itself", "[peer_directory]") {
  DirectoryHarness harness;
  harness.directory.onAnswer(kOwn);
  harness.directory.onPeersReported({kOwn, Endpoint()});
  CHECK(harness.directory.recentPeers().empty());
}

TEST_CASE("peers without contact expire even if other peers report them", "[peer_directory]") {
  DirectoryHarness harness;
  harness.directory.onPeersReported({Endpoint{3, 1}});
  harness.time.elapsed += seconds(40);
  harness.directory.onPeersReported({Endpoint{3, 1}});
  harness.time.elapsed += seconds(40);
  CHECK(harness.directory.recentPeers().empty());
}

TEST_CASE("the number of stored peers is limited", "[peer_directory]") {
  DirectoryHarness harness;
  for (std::uint32_t address = 10; address < 50; ++address) {
    harness.directory.onAnswer({address, 1});
  }
  CHECK(harness.directory.recentPeers().size() == 4);
}

TEST_CASE("without seeds and peers no peer is picked", "[peer_directory]") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(1);
  PeerDirectory directory({}, kOwn, {}, time, *random);
  CHECK_FALSE(directory.pickRandom().has_value());
}

}  // namespace
}  // namespace lugfork
