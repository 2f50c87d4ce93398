#include <catch2/catch.hpp>
#include <cstdio>

#include "flow/overload_replay.h"

namespace lugfork {
namespace {

constexpr Duration kRunDuration = seconds(12);
constexpr Duration kFailureAt = seconds(4);
constexpr double kNormalLoad = 0.8;
const BackendId kFailedBackend{7};

OverloadReplay::Result overload(std::uint64_t seed, const Safeguards& safeguards, double load) {
  return OverloadReplay(seed, safeguards, load).run(kRunDuration);
}

OverloadReplay::Result surge(std::uint64_t seed, const Safeguards& safeguards, double load) {
  return OverloadReplay(seed, safeguards, load, kNormalLoad).run(kRunDuration);
}

OverloadReplay::Result stalls(std::uint64_t seed, const Safeguards& safeguards, double load) {
  OverloadReplay replay(seed, safeguards, load);
  replay.enableStalls();
  return replay.run(kRunDuration);
}

OverloadReplay::Result backendFailure(std::uint64_t seed, const Safeguards& safeguards) {
  OverloadReplay replay(seed, safeguards, kNormalLoad);
  replay.kill(kFailedBackend, kFailureAt);
  return replay.run(kRunDuration);
}

TEST_CASE("no open flow is reset while all backends are overloaded but alive",
          "[overload_evidence]") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  const double load = GENERATE(1.3, 2.0);
  const bool shares_evidence = GENERATE(true, false);
  const auto result = overload(seed, {.shares_evidence = shares_evidence}, load);
  CHECK(result.wrong_resets == 0);
  CHECK(result.answered > 10000);
  CHECK(surge(seed, {.shares_evidence = shares_evidence}, load).wrong_resets == 0);
}

TEST_CASE("no open flow is reset while balancers are suspended intermittently",
          "[overload_evidence]") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  const double load = GENERATE(0.8, 2.0);
  const bool shares_evidence = GENERATE(true, false);
  CHECK(stalls(seed, {.shares_evidence = shares_evidence}, load).wrong_resets == 0);
}

TEST_CASE("open flows of a backend that fails under normal load are reset", "[overload_evidence]") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  const bool shares_evidence = GENERATE(true, false);
  const auto result = backendFailure(seed, {.shares_evidence = shares_evidence});
  CHECK(result.wrong_resets == 0);
  CHECK(result.correct_resets > 0);
}

TEST_CASE("resets for each combination of safeguards", "[.figures]") {
  constexpr std::uint64_t kSeeds = 20;
  for (int bits = 0; bits < 8; ++bits) {
    const Safeguards safeguards{(bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0};
    int full = 0;
    int surge_resets = 0;
    int stalled = 0;
    int correct_resets = 0;
    int wrong_resets = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (const double load : {1.1, 1.3, 1.6, 2.0, 3.0}) {
        full += overload(seed, safeguards, load).wrong_resets;
        surge_resets += surge(seed, safeguards, load).wrong_resets;
      }
      for (const double load : {0.5, kNormalLoad, 1.3, 2.0}) {
        stalled += stalls(seed, safeguards, load).wrong_resets;
      }
      const auto dead = backendFailure(seed, safeguards);
      correct_resets += dead.correct_resets;
      wrong_resets += dead.wrong_resets;
    }
    std::printf(
        "shared evidence %d, suspicion limit %d, delay detection %d: wrong resets overload %d, "
        "surge %d, stalls %d, failure %d (correct %d)\n",
        safeguards.shares_evidence, safeguards.limits_false_suspicions, safeguards.detects_delay,
        full, surge_resets, stalled, wrong_resets, correct_resets);
  }
}

}  // namespace
}  // namespace lugfork
