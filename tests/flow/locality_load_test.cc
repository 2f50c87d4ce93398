#include <catch2/catch.hpp>

#include "flow/load_replay.h"

/** The local fraction under load, in three equal zones of twenty balancers and ten backends. */
namespace lugfork {
namespace {

constexpr ReplayVariant kConstant2{LocalityMode::Constant, 2};
constexpr ReplayVariant kConstant50{LocalityMode::Constant, 50};
constexpr ReplayVariant kAdaptive{LocalityMode::Adaptive, 50};

LoadReplay evenLoad(ReplayVariant variant, double load) {
  LoadReplay replay(variant);
  replay.load = {{1, load}, {2, load}, {3, load}};
  return replay;
}

double lateFraction(const ZoneSample& sum) {
  return static_cast<double>(sum.late + sum.refused) / sum.flows;
}

TEST_CASE("local fractions are stable with all zones near or above their capacity",
          "[locality][load]") {
  for (const double load : {0.5, 0.8, 1.0, 1.3}) {
    INFO("load " << load);
    LoadReplay replay = evenLoad(kAdaptive, load);
    LoadReplay even = evenLoad(kConstant2, load);
    replay.run(40);
    even.run(40);
    for (std::uint32_t zone = 1; zone <= kReplayZones; ++zone) {
      const auto [max_fraction, min_fraction] = replay.localFractionRange(zone, 30);
      CHECK(min_fraction > 0.8);
      CHECK(max_fraction - min_fraction < 0.15);
      // Not slower than with flows spread over the zones, within the noise.
      CHECK(lateFraction(replay.sum(zone, 30)) < lateFraction(even.sum(zone, 30)) + 0.06);
    }
  }
}

TEST_CASE("the last backend of a zone is not overloaded by local flows", "[locality][load]") {
  const auto after = [](ReplayVariant variant) {
    LoadReplay replay = evenLoad(variant, 0.4);
    replay.run(5);
    std::erase_if(replay.configuration.backends, [](const Backend& backend) {
      return backend.zone == ZoneId(1) && backend.id != BackendId(100);
    });
    replay.apply();
    replay.run(5);
    return replay.sum(1, 5);
  };
  CHECK(lateFraction(after(kAdaptive)) < 0.02);
  // Control: with a constant weight the backend is overloaded.
  CHECK(lateFraction(after(kConstant50)) > 0.1);
}

TEST_CASE("flows overflow from a zone in which half of the backends are slow", "[locality][load]") {
  const auto play = [](ReplayVariant variant) {
    LoadReplay replay = evenLoad(variant, 0.6);
    replay.run(5);
    for (std::uint32_t id = 100; id < 105; ++id) {
      replay.backend_fakes[id].slowdown = 4;
    }
    replay.run(20);
    return replay;
  };
  LoadReplay adaptive = play(kAdaptive);
  LoadReplay constant = play(kConstant50);
  CHECK(adaptive.sum(1, 15).refused * 10 < constant.sum(1, 15).refused);
  CHECK(lateFraction(adaptive.sum(1, 15)) < 0.6 * lateFraction(constant.sum(1, 15)));
  // The other zones have enough capacity for the overflow.
  CHECK(lateFraction(adaptive.sum(2, 15)) < 0.03);
  for (std::uint32_t id = 100; id < 105; ++id) {
    adaptive.backend_fakes[id].slowdown = 1;
  }
  adaptive.run(45);
  CHECK(adaptive.sum(1, 5).localFraction() > 0.93);
}

TEST_CASE("flows overflow while clients concentrate in one zone, and return afterwards",
          "[locality][load]") {
  const auto play = [](ReplayVariant variant) {
    LoadReplay replay = evenLoad(variant, 0.5);
    replay.run(5);
    replay.load = {{1, 1.3}, {2, 0.1}, {3, 0.1}};
    replay.run(20);
    return replay;
  };
  LoadReplay adaptive = play(kAdaptive);
  CHECK(lateFraction(adaptive.sum(1, 15)) < 0.01);
  CHECK(lateFraction(play(kConstant50).sum(1, 15)) > 0.4);
  const auto [max_fraction, min_fraction] = adaptive.localFractionRange(1, 10);
  CHECK(max_fraction - min_fraction < 0.15);
  adaptive.load = {{1, 0.5}, {2, 0.5}, {3, 0.5}};
  adaptive.run(40);
  CHECK(adaptive.sum(1, 5).localFraction() > 0.93);
}

TEST_CASE("balancers with a dozen flows per second detect that clients concentrate in one zone",
          "[locality][load]") {
  const auto play = [](ReplayVariant variant) {
    LoadReplay replay(variant, 60);
    replay.load = {{1, 0.5}, {2, 0.5}, {3, 0.5}};
    replay.run(5);
    CHECK(replay.sum(1, 3).localFraction() > 0.93);
    replay.load = {{1, 1.3}, {2, 0.1}, {3, 0.1}};
    replay.run(20);
    return replay;
  };
  CHECK(lateFraction(play(kAdaptive).sum(1, 15)) < 0.02);
  CHECK(lateFraction(play(kConstant50).sum(1, 15)) > 0.4);
}

TEST_CASE("all flows leave a zone whose backends are suspect, and return slowly on recovery",
          "[locality][load]") {
  LoadReplay replay = evenLoad(kAdaptive, 0.3);
  replay.run(3);
  for (std::uint32_t id = 100; id < 110; ++id) {
    replay.backend_health.suspects.insert(id);
  }
  replay.run(2);
  CHECK(replay.sum(1, 1).local == 0);
  CHECK(replay.sum(1, 1).refused == 0);
  replay.backend_health.suspects.clear();
  replay.run(2);
  // Its backends first receive flows by their slots alone.
  CHECK(replay.sum(1, 1).localFraction() < 0.5);
  replay.run(25);
  CHECK(replay.sum(1, 2).localFraction() > 0.93);
}

TEST_CASE("in a partitioned zone flows stay with the local backends", "[locality][load]") {
  LoadReplay replay = evenLoad(kAdaptive, 0.3);
  replay.run(3);
  for (std::uint32_t index = 0; index < kBackendsPerZone; ++index) {
    replay.backend_health.suspects.insert(200 + index);
    replay.backend_health.suspects.insert(300 + index);
  }
  replay.run(2);
  CHECK(replay.sum(1, 1).localFraction() == 1);
  // If the local backends are suspect too, suspicion is ignored.
  for (std::uint32_t index = 0; index < kBackendsPerZone; ++index) {
    replay.backend_health.suspects.insert(100 + index);
  }
  replay.run(2);
  CHECK(replay.sum(1, 1).refused == 0);
}

TEST_CASE("a rolling restart of a zone's backends does not overload any of them",
          "[locality][load]") {
  LoadReplay replay = evenLoad(kAdaptive, 0.4);
  replay.run(5);
  const double mean_flows = 0.4 * kZoneCapacityPerSecond / kBackendsPerZone;
  for (std::uint32_t index = 0; index < kBackendsPerZone; ++index) {
    Backend& restarting = replay.configuration.backends[index];
    REQUIRE(restarting.zone == ZoneId(1));
    restarting.draining = true;
    replay.apply();
    replay.run(1);
    restarting.draining = false;
    restarting.cold_until = replay.time.monotonicTime() + seconds(2);
    replay.backend_fakes[restarting.id.value()].slowdown = 1.6;
    if (index >= 2) {
      replay.backend_fakes[restarting.id.value() - 2].slowdown = 1;
    }
    replay.apply();
    replay.run(1);
    for (std::uint32_t other = 100; other < 110; ++other) {
      CHECK(replay.placedOn(other) < 2.2 * mean_flows);
    }
    CHECK(lateFraction(replay.sum(1, 2)) < 0.03);
  }
}

}  // namespace
}  // namespace lugfork
