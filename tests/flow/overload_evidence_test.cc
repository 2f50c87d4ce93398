#include <catch2/catch.hpp>
#include <cstdio>

#include "flow/overload_replay.h"

namespace lugfork {
namespace {

constexpr Duration kPlay = seconds(12);
constexpr Duration kDeath = seconds(4);
constexpr double kUsualLoad = 0.8;
const BackendId kVictim{7};

OverloadReplay::Result overload(std::uint64_t seed, const Ways& ways, double load) {
  return OverloadReplay(seed, ways, load).run(kPlay);
}

OverloadReplay::Result rush(std::uint64_t seed, const Ways& ways, double load) {
  return OverloadReplay(seed, ways, load, kUsualLoad).run(kPlay);
}

OverloadReplay::Result stalls(std::uint64_t seed, const Ways& ways, double load) {
  OverloadReplay replay(seed, ways, load);
  replay.stallSome();
  return replay.run(kPlay);
}

OverloadReplay::Result death(std::uint64_t seed, const Ways& ways) {
  OverloadReplay replay(seed, ways, kUsualLoad);
  replay.kill(kVictim, kDeath);
  return replay.run(kPlay);
}

TEST_CASE("no open flow is reset while all servers live and are full", "[overload_evidence]") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  const double load = GENERATE(1.3, 2.0);
  const bool asks_others = GENERATE(true, false);
  const auto result = overload(seed, {.asks_others = asks_others}, load);
  CHECK(result.broken == 0);
  CHECK(result.answered > 10000);
  CHECK(rush(seed, {.asks_others = asks_others}, load).broken == 0);
}

TEST_CASE("no open flow is reset while all servers live and balancers stand still by turns",
          "[overload_evidence]") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  const double load = GENERATE(0.8, 2.0);
  const bool asks_others = GENERATE(true, false);
  CHECK(stalls(seed, {.asks_others = asks_others}, load).broken == 0);
}

TEST_CASE("open flows of a server that dies at a usual load are reset still",
          "[overload_evidence]") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  const bool asks_others = GENERATE(true, false);
  const auto result = death(seed, {.asks_others = asks_others});
  CHECK(result.broken == 0);
  CHECK(result.freed > 0);
}

TEST_CASE("figures of the ways against taking full servers for dead", "[.figures]") {
  constexpr std::uint64_t kSeeds = 20;
  for (int bits = 0; bits < 8; ++bits) {
    const Ways ways{(bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0};
    int full = 0;
    int rushed = 0;
    int stalled = 0;
    int freed = 0;
    int broken = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (const double load : {1.1, 1.3, 1.6, 2.0, 3.0}) {
        full += overload(seed, ways, load).broken;
        rushed += rush(seed, ways, load).broken;
      }
      for (const double load : {0.5, kUsualLoad, 1.3, 2.0}) {
        stalled += stalls(seed, ways, load).broken;
      }
      const auto dead = death(seed, ways);
      freed += dead.freed;
      broken += dead.broken;
    }
    std::printf(
        "asks others %d, gate %d, behind %d: full %d, rush %d, stalls %d, one dead %d (freed %d)\n",
        ways.asks_others, ways.has_gate, ways.tells_behind, full, rushed, stalled, broken, freed);
  }
}

}  // namespace
}  // namespace lugfork
