#include "flow/cold_backend_limit.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>

#include "discovery/peer_directory.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr double kFlowsPerSecond = 10;
/** Bound with the default settings: 10 x 1.5 + 5. */
constexpr std::size_t kMaxFlowsPerSecond = 20;

Backend coldBackend(const ManualTimeSource& time, std::uint32_t id = 1) {
  Backend backend = makeBackend(id, ServiceId(1), kLac);
  backend.server_id = id;
  backend.cold_flows_per_second = kFlowsPerSecond;
  backend.cold_until = time.monotonicTime() + seconds(3600);
  return backend;
}

std::size_t placeAll(ColdBackendLimit& limit, const Backend& backend, std::size_t attempts) {
  std::size_t placed = 0;
  for (std::size_t count = 0; count < attempts; ++count) {
    if (limit.admits(backend)) {
      limit.onPlaced(backend);
      ++placed;
    }
  }
  return placed;
}

TEST_CASE("warm backend, and cold one without a limit, get every flow", "[cold_server_limit]") {
  ManualTimeSource time;
  ColdBackendLimit limit({}, time);
  Backend warm = coldBackend(time);
  warm.cold_until = time.monotonicTime();
  CHECK(placeAll(limit, warm, 1000) == 1000);
  Backend unlimited = coldBackend(time);
  unlimited.cold_flows_per_second = 0;
  CHECK(placeAll(limit, unlimited, 1000) == 1000);
}

TEST_CASE("cold backend gets a fraction of its bound from an owner, and nothing from others",
          "[cold_server_limit]") {
  ManualTimeSource time;
  ColdBackendLimit limit({}, time);
  const Backend cold = coldBackend(time);
  CHECK(placeAll(limit, cold, 100) == 0);
  time.elapsed += ColdBackendLimitSettings().start_delay;
  CHECK(placeAll(limit, cold, 100) == kMaxFlowsPerSecond / 4);
  time.elapsed += milliseconds(1050);
  CHECK(placeAll(limit, cold, 100) == 0);
  time.elapsed += milliseconds(100);
  CHECK(placeAll(limit, cold, 100) == kMaxFlowsPerSecond / 4);
  limit.setIsOwner([](std::uint64_t) { return false; });
  time.elapsed += seconds(2);
  CHECK(placeAll(limit, cold, 100) == 0);
}

TEST_CASE("bound too small to be divided admits no flow", "[cold_server_limit]") {
  ManualTimeSource time;
  ColdBackendLimit limit({1.0, 0.0, seconds(0)}, time);
  Backend cold = coldBackend(time);
  cold.cold_flows_per_second = 3;
  CHECK(placeAll(limit, cold, 100) == 0);
}

TEST_CASE("balancers that have discovered the whole fleet agree on one or two owners",
          "[cold_server_limit]") {
  ManualTimeSource time;
  const auto random = makeSeededRandom(1);
  const std::uint32_t fleet = GENERATE(as<std::uint32_t>(), 1, 2, 7, 89, 300);
  std::map<std::uint64_t, std::size_t> owners;
  std::vector<PeerInfo> all;
  for (std::uint32_t address = 1; address <= fleet; ++address) {
    all.push_back(Endpoint{address, 1});
  }
  constexpr std::uint64_t kBackends = 50;
  for (const PeerInfo& self : all) {
    PeerDirectory directory({}, self, {}, time, *random);
    directory.onPeersReported(all);
    for (std::uint64_t backend_id = 1; backend_id <= kBackends; ++backend_id) {
      owners[backend_id] += directory.isOwner(backend_id, kOwnersPerColdBackend) ? 1 : 0;
    }
  }
  for (std::uint64_t backend_id = 1; backend_id <= kBackends; ++backend_id) {
    CHECK(owners[backend_id] >= 1);
    CHECK(owners[backend_id] <= kOwnersPerColdBackend);
  }
}

/**
 * Each balancer knows the peers in its half of a partitioned fleet; balancers restart at random.
 */
TEST_CASE("total placements of all balancers on a cold backend stay within the bound in any second",
          "[cold_server_limit]") {
  rc::prop("partitioned fleet, restarts, uneven load", [] {
    ManualTimeSource time;
    const auto random = makeSeededRandom(*rc::gen::inRange(1, 1000000));
    const auto fleet = *rc::gen::inRange<std::uint32_t>(1, 24);
    const auto split = *rc::gen::inRange<std::uint32_t>(0, fleet + 1);
    const Backend cold = coldBackend(time);
    std::vector<std::unique_ptr<PeerDirectory>> directories;
    std::vector<std::unique_ptr<ColdBackendLimit>> limits;
    const auto start = [&](std::size_t index) {
      auto limit = std::make_unique<ColdBackendLimit>(ColdBackendLimitSettings(), time);
      PeerDirectory* directory = directories[index].get();
      limit->setIsOwner([directory](std::uint64_t server_id) {
        return directory->isOwner(server_id, kOwnersPerColdBackend);
      });
      return limit;
    };
    for (std::uint32_t local = 0; local < fleet; ++local) {
      directories.push_back(std::make_unique<PeerDirectory>(
          PeerDirectorySettings(), Endpoint{local + 1, 1}, std::vector<Endpoint>(), time, *random));
      for (std::uint32_t peer = 0; peer < fleet; ++peer) {
        if ((local < split) == (peer < split)) {
          directories.back()->onAnswer({peer + 1, 1});
        }
      }
      limits.push_back(start(local));
    }
    time.elapsed += seconds(6);
    std::deque<MonotonicTime> placed_at;
    for (int step = 0; step < 400; ++step) {
      time.elapsed += milliseconds(static_cast<int>(random->below(40)));
      const std::size_t index = random->below(fleet);
      if (random->below(40) == 0) {
        limits[index] = start(index);
      }
      const std::size_t placed = placeAll(*limits[index], cold, random->below(8));
      placed_at.insert(placed_at.end(), placed, time.monotonicTime());
      while (time.monotonicTime() - placed_at.front() > seconds(1) && !placed_at.empty()) {
        placed_at.pop_front();
      }
      RC_ASSERT(placed_at.size() <= kMaxFlowsPerSecond);
    }
  });
}

}  // namespace
}  // namespace lugfork
