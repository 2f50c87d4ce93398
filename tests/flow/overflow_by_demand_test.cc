#include <catch2/catch.hpp>

#include "flow/load_replay.h"

/**
 * Overflow by the demand of the local zone, in three zones with 60 slots in total: 20 per
 * zone if distributed evenly. A balancer sees 13 to 50 requests per second with 25 balancers per
 * zone, 40 to 150 with eight and one or two with 300.
 */
namespace lugfork {
namespace {

constexpr ReplayVariant kByResponseTime{LocalityMode::Adaptive, 50};
constexpr ReplayVariant kByDemand{LocalityMode::Adaptive, 50, 1};
constexpr std::uint64_t kSeeds[] = {11, 12, 13};
using BackendCounts = std::array<std::uint32_t, kReplayZones>;
using Loads = std::array<double, kReplayZones>;

constexpr BackendCounts kUnequal{21, 6, 3};
constexpr BackendCounts kEqual{10, 10, 10};

void setLoad(LoadReplay& replay, const Loads& loads) {
  for (std::uint32_t zone = 1; zone <= kReplayZones; ++zone) {
    replay.load[zone] = loads[zone - 1];
  }
}

LoadReplay start(ReplayVariant variant, const ReplayTopology& topology, const Loads& loads) {
  LoadReplay replay(variant, topology);
  setLoad(replay, loads);
  return replay;
}

double lateFraction(const ZoneSample& sum) {
  return static_cast<double>(sum.late + sum.refused) / std::max(sum.flows, 1);
}

/** @return fraction of all zones' flows in the last count seconds that were late or refused. */
double totalLateFraction(const LoadReplay& replay, std::size_t count) {
  ZoneSample total;
  for (std::uint32_t zone = 1; zone <= kReplayZones; ++zone) {
    const ZoneSample sum = replay.sum(zone, count);
    total.flows += sum.flows;
    total.late += sum.late;
    total.refused += sum.refused;
  }
  return lateFraction(total);
}

double maxZoneLateFraction(const LoadReplay& replay, std::size_t count) {
  double max_fraction = 0;
  for (std::uint32_t zone = 1; zone <= kReplayZones; ++zone) {
    max_fraction = std::max(max_fraction, lateFraction(replay.sum(zone, count)));
  }
  return max_fraction;
}

TEST_CASE("zones of unequal capacity are balanced by demand from the first second on",
          "[locality][demand]") {
  struct Row {
    const char* name;
    BackendCounts backend_counts;
    Loads loads;
    double first_second;
  };
  const Row rows[] = {
      {"21, 6 and 3 backends, equal demand", kUnequal, {0.56, 0.56, 0.56}, 0.03},
      {"3, 3 and 24 backends, equal demand", {3, 3, 24}, {0.56, 0.56, 0.56}, 0.06},
      {"highest demand in the zone with most backends", kUnequal, {1.3, 0.2, 0.2}, 0.01},
      {"highest demand in the zone with fewest backends", kUnequal, {0.2, 0.2, 1.28}, 0.09},
  };
  for (const Row& row : rows) {
    for (const std::uint64_t seed : kSeeds) {
      INFO(row.name << ", seed " << seed);
      LoadReplay replay = start(kByDemand, {25, row.backend_counts, seed}, row.loads);
      replay.run(1);
      CHECK(totalLateFraction(replay, 1) < row.first_second);
      replay.run(1);
      CHECK(maxZoneLateFraction(replay, 1) < 0.03);
      replay.run(28);
      CHECK(maxZoneLateFraction(replay, 28) < 0.01);
      // Flows that leave the second zone are counted by cause.
      const LocalityCounters counters = replay.locality(2, 0).counters(ServiceId(1));
      const auto by_demand =
          counters.remote_by_cause[static_cast<std::size_t>(OverflowCause::Demand)];
      CHECK((by_demand > 0) == (row.loads[1] > 0.4));
    }
  }
}

TEST_CASE("response times alone detect unequal zones a second or two later", "[locality][demand]") {
  // Control: without the demand, flows are late in the first two seconds.
  LoadReplay replay = start(kByResponseTime, {25, kUnequal}, {0.56, 0.56, 0.56});
  replay.run(2);
  CHECK(totalLateFraction(replay, 2) > 0.06);
}

TEST_CASE("balancers with 40 requests per second detect unequal zones within half a second",
          "[locality][demand]") {
  for (const std::uint64_t seed : kSeeds) {
    INFO("seed " << seed);
    LoadReplay replay = start(kByDemand, {8, kUnequal, seed}, {0.56, 0.56, 0.56});
    replay.run(1);
    CHECK(maxZoneLateFraction(replay, 1) < 0.02);
  }
}

TEST_CASE("balancers with one or two requests per second detect unequal zones after some seconds",
          "[locality][demand]") {
  const auto late = [](ReplayVariant variant) {
    LoadReplay replay = start(variant, {300, kUnequal}, {0.56, 0.56, 0.56});
    replay.run(20);
    return totalLateFraction(replay, 10);
  };
  CHECK(late(kByDemand) < 0.03);
  // There are too few answers to compare response times.
  CHECK(late(kByResponseTime) > 0.1);
}

TEST_CASE("flows stay in a zone with low demand, even if it has few slots", "[locality][demand]") {
  const auto local_fraction = [](ReplayVariant variant) {
    LoadReplay replay = start(variant, {25, kUnequal}, {0.5, 0.3, 0.1});
    replay.run(20);
    CHECK(maxZoneLateFraction(replay, 20) < 0.01);
    return replay.sum(3, 10).localFraction();
  };
  // The local fraction of a tenth of the slots at the maximum weight.
  CHECK(local_fraction(kByDemand) > 0.8);
  CHECK(local_fraction(kByResponseTime) < local_fraction(kByDemand) - 0.1);
}

TEST_CASE("a threefold burst of demand in one zone overflows within its first second",
          "[locality][demand]") {
  const auto play = [](ReplayVariant variant, std::uint32_t balancers, std::uint64_t seed) {
    LoadReplay replay = start(variant, {balancers, kEqual, seed}, {0.4, 0.4, 0.4});
    replay.run(5);
    replay.load[1] = 1.2;
    replay.run(1);
    return replay;
  };
  for (const std::uint64_t seed : kSeeds) {
    INFO("seed " << seed);
    LoadReplay replay = play(kByDemand, 8, seed);
    CHECK(totalLateFraction(replay, 1) < 0.05);
    replay.run(4);
    CHECK(maxZoneLateFraction(replay, 4) < 0.02);
    replay.load[1] = 0.4;
    replay.run(20);
    CHECK(maxZoneLateFraction(replay, 20) < 0.01);
    CHECK(replay.sum(1, 5).localFraction() > 0.93);
    // Later at balancers with a dozen requests per second.
    LoadReplay low_rate = play(kByDemand, 25, seed);
    CHECK(totalLateFraction(low_rate, 1) <
          0.6 * totalLateFraction(play(kByResponseTime, 25, seed), 1));
    low_rate.run(4);
    CHECK(maxZoneLateFraction(low_rate, 4) < 0.02);
  }
}

TEST_CASE("flows overflow at once from a zone that loses all backends but one",
          "[locality][demand]") {
  for (const bool draining : {false, true}) {
    INFO("draining " << draining);
    LoadReplay replay = start(kByDemand, {25, kEqual}, {0.5, 0.5, 0.5});
    replay.run(5);
    for (Backend& backend : replay.configuration.backends) {
      backend.draining = draining && backend.zone == ZoneId(1) && backend.id != BackendId(100);
    }
    if (!draining) {
      std::erase_if(replay.configuration.backends, [](const Backend& backend) {
        return backend.zone == ZoneId(1) && backend.id != BackendId(100);
      });
    }
    replay.apply();
    replay.run(1);
    CHECK(maxZoneLateFraction(replay, 1) < 0.03);
    CHECK(replay.sum(1, 1).localFraction() < 0.2);
    replay.run(9);
    CHECK(maxZoneLateFraction(replay, 9) < 0.04);
  }
}

TEST_CASE("a service time wrong by a factor of two causes no more late flows than an unknown one",
          "[locality][demand]") {
  const auto play = [](double factor) {
    LoadReplay replay =
        start({LocalityMode::Adaptive, 50, factor}, {25, kUnequal}, {0.56, 0.56, 0.56});
    replay.run(2);
    return replay;
  };
  LoadReplay by_response_time = play(0);
  LoadReplay half = play(0.5);
  CHECK(totalLateFraction(half, 2) < totalLateFraction(by_response_time, 2) + 0.01);
  LoadReplay twice = play(2);
  CHECK(totalLateFraction(twice, 2) < 0.03);
  for (LoadReplay* replay : {&half, &twice}) {
    replay->run(28);
    CHECK(maxZoneLateFraction(*replay, 25) < 0.02);
  }
  CHECK(half.sum(2, 5).localFraction() > 0.5);
  CHECK(twice.sum(2, 5).localFraction() > 0.25);
}

TEST_CASE("flows overflow by response times from backends that become twice as slow",
          "[locality][demand]") {
  const auto play = [](double factor) {
    LoadReplay replay = start({LocalityMode::Adaptive, 50, factor}, {25, kEqual}, {0.45, 0.3, 0.3});
    replay.run(5);
    for (std::uint32_t id = 100; id < 110; ++id) {
      replay.backend_fakes[id].slowdown = 2;
    }
    replay.run(10);
    return replay;
  };
  // The demand estimate uses the old service time; it must not delay overflow by response times.
  LoadReplay replay = play(1);
  CHECK(totalLateFraction(replay, 10) < totalLateFraction(play(0), 10) + 0.01);
  replay.run(10);
  CHECK(maxZoneLateFraction(replay, 10) < 0.02);
}

TEST_CASE("in a partitioned zone all flows stay with the local backends, whatever the demand",
          "[locality][demand]") {
  LoadReplay replay = start(kByDemand, {25, kEqual}, {0.3, 0.3, 0.3});
  replay.run(3);
  for (std::uint32_t index = 0; index < kBackendsPerZone; ++index) {
    replay.backend_health.suspects.insert(200 + index);
    replay.backend_health.suspects.insert(300 + index);
  }
  replay.run(2);
  CHECK(replay.sum(1, 1).localFraction() == 1);
  CHECK(replay.sum(1, 2).refused == 0);
  // If only the local backends are suspect, all flows leave the zone.
  replay.backend_health.suspects.clear();
  replay.run(5);
  for (std::uint32_t id = 100; id < 110; ++id) {
    replay.backend_health.suspects.insert(id);
  }
  replay.run(2);
  CHECK(replay.sum(1, 1).local == 0);
  CHECK(replay.sum(1, 1).refused == 0);
}

TEST_CASE("with all zones full there is little overflow and local fractions are stable",
          "[locality][demand]") {
  for (const double load : {0.8, 1.0, 1.3}) {
    INFO("load " << load);
    LoadReplay replay = start(kByDemand, {25, kEqual}, {load, load, load});
    LoadReplay by_response_time = start(kByResponseTime, {25, kEqual}, {load, load, load});
    replay.run(40);
    by_response_time.run(40);
    CHECK(totalLateFraction(replay, 40) < totalLateFraction(by_response_time, 40) + 0.02);
    for (std::uint32_t zone = 1; zone <= kReplayZones; ++zone) {
      CHECK(replay.sum(zone, 20).localFraction() > 0.88);
      const auto [max_fraction, min_fraction] = replay.localFractionRange(zone, 20);
      CHECK(max_fraction - min_fraction < 0.15);
    }
  }
}

TEST_CASE(
    "balancers of a zone agree on the local fraction, so retransmissions reach the same backend",
    "[locality][demand]") {
  // Mean over 20 seconds in the two zones with overflow.
  const auto fraction_deviation = [](ReplayVariant variant, const BackendCounts& backend_counts) {
    LoadReplay replay = start(variant, {25, backend_counts}, {0.56, 0.56, 0.56});
    replay.run(10);
    double sum = 0;
    for (int second = 0; second < 20; ++second) {
      replay.run(1);
      sum += replay.fractionDeviation(2) + replay.fractionDeviation(3);
    }
    return sum / 40;
  };
  CHECK(fraction_deviation(kByDemand, kUnequal) < 0.12);
  CHECK(fraction_deviation(kByDemand, kUnequal) <
        0.6 * fraction_deviation(kByResponseTime, kUnequal));
  CHECK(fraction_deviation(kByDemand, kEqual) < 0.06);
}

}  // namespace
}  // namespace lugfork
