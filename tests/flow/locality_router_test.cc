#include "flow/locality_router.h"

#include <catch2/catch.hpp>

#include "flow/policy/bounded_rendezvous_policy.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr ServiceId kFeed{1};

/** A router of a zone with a third of the slots. */
struct LocalityHarness {
  explicit LocalityHarness(LocalityMode mode = LocalityMode::Adaptive)
      : router(make(mode), time, log) {
    assess();
  }

  static LocalitySettings make(LocalityMode mode) {
    LocalitySettings settings;
    settings.mode = mode;
    settings.max_weight = 50;
    settings.max_bulk_weight = 80;
    return settings;
  }

  void assess() {
    const Service service{kFeed, "feed", kListen, {kLac, kAriana}};
    router.assess(service, capacity);
  }

  /** Advances the time by half seconds, each with local and remote answers. */
  void advance(int half_seconds, int local_ms, int remote_ms) {
    for (int half_second = 0; half_second < half_seconds; ++half_second) {
      for (int answer = 0; answer < 10; ++answer) {
        time.elapsed += milliseconds(50);
        // Durations vary by a third around the mean, as typical of one kind of work.
        router.onResponse(kFeed, true, milliseconds(local_ms * (answer % 2 == 0 ? 4 : 2) / 3));
        router.onResponse(kFeed, false, milliseconds(remote_ms * (answer % 2 == 0 ? 4 : 2) / 3));
      }
      assess();
    }
  }

  ManualTimeSource time;
  NullEventLog log;
  LocalityCapacity capacity{40, 40, 120, 120, 3};
  LocalityRouter router;
};

TEST_CASE("a zone with a third of the slots of three zones has the maximum weight", "[locality]") {
  LocalityHarness harness;
  CHECK(harness.router.weight(kFeed, false) == 50);
  CHECK(harness.router.weight(kFeed, true) == 80);
  CHECK(harness.router.cause(kFeed) == OverflowCause::None);
  // The same for services that were never assessed.
  CHECK(harness.router.weight(ServiceId(9), false) == 50);
}

TEST_CASE("the local zone has the maximum weight when no other zone has slots", "[locality]") {
  LocalityHarness harness;
  harness.advance(6, 100, 20);
  REQUIRE(harness.router.weight(kFeed, false) < 50);
  harness.capacity = {40, 40, 40, 40, 3};
  // Slow local answers compared with earlier remote ones have no effect now.
  for (int answer = 0; answer < 40; ++answer) {
    harness.time.elapsed += milliseconds(50);
    harness.router.onResponse(kFeed, true, milliseconds(100));
    harness.assess();
    REQUIRE(harness.router.weight(kFeed, false) == 50);
    REQUIRE(harness.router.localFraction(kFeed) == 1);
  }
}

TEST_CASE("loss of usable slots lowers the local fraction at once, and it recovers stepwise",
          "[locality]") {
  struct Row {
    const char* name;
    double local_usable_slots;
    double total_usable_slots;
    double max_fraction;
    double min_fraction;
  };
  const Row rows[] = {
      {"half of the local slots usable", 20, 100, 1, 0.95},
      {"a quarter of the local slots usable", 10, 90, 0.70, 0.55},
      {"one slot of forty usable", 1, 81, 0.35, 0.33},
      {"no local slot usable", 0, 80, 0.35, 0.33},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    LocalityHarness harness;
    harness.capacity.local_usable_slots = row.local_usable_slots;
    harness.capacity.total_usable_slots = row.total_usable_slots;
    harness.assess();
    const double local_fraction = harness.router.localFraction(kFeed);
    CHECK(local_fraction <= row.max_fraction);
    CHECK(local_fraction >= row.min_fraction);
    harness.capacity = LocalityCapacity{40, 40, 120, 120, 3};
    harness.assess();
    // A zone that has just recovered must not receive all its flows at once.
    CHECK(harness.router.localFraction(kFeed) == Approx(local_fraction));
    harness.advance(60, 30, 30);
    CHECK(harness.router.weight(kFeed, false) == 50);
    CHECK(harness.router.cause(kFeed) == OverflowCause::None);
  }
}

TEST_CASE("in constant mode neither slots nor response times change the weight", "[locality]") {
  LocalityHarness harness(LocalityMode::Constant);
  harness.capacity.local_usable_slots = 1;
  harness.assess();
  harness.advance(20, 300, 30);
  CHECK(harness.router.weight(kFeed, false) == 50);
}

TEST_CASE("slow local answers lower the local fraction, and faster ones restore it", "[locality]") {
  LocalityHarness harness;
  harness.advance(4, 45, 30);
  const double first = harness.router.localFraction(kFeed);
  CHECK(first < 0.95);
  CHECK(first > 0.5);
  CHECK(harness.router.cause(kFeed) == OverflowCause::ResponseTime);
  harness.advance(30, 60, 30);
  // Never below the zone's fraction of the slots.
  CHECK(harness.router.localFraction(kFeed) == Approx(1.0 / 3));
  CHECK(harness.router.weight(kFeed, true) == Approx(1));
  harness.advance(60, 30, 30);
  CHECK(harness.router.weight(kFeed, false) == 50);
}

TEST_CASE("insignificant differences of response times do not change the weight", "[locality]") {
  struct Row {
    const char* name;
    int local_ms;
    int remote_ms;
  };
  const Row rows[] = {
      {"as fast as others", 30, 30},
      {"faster than others", 30, 60},
      {"a little slower", 36, 30},
      {"twice as slow, but below the minimum gain", 9, 5},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    LocalityHarness harness;
    harness.advance(40, row.local_ms, row.remote_ms);
    CHECK(harness.router.weight(kFeed, false) == 50);
  }
}

TEST_CASE("refusals by full queues are not counted as fast local answers", "[locality]") {
  LocalityHarness harness;
  for (int half_second = 0; half_second < 20; ++half_second) {
    harness.advance(1, 90, 30);
    // Half of the answers are refusals.
    for (int refusal = 0; refusal < 10; ++refusal) {
      harness.router.onResponse(kFeed, true, milliseconds(1));
    }
  }
  CHECK(harness.router.localFraction(kFeed) < 0.4);
}

TEST_CASE("the typical response time follows a service that becomes much faster", "[locality]") {
  LogTimeStatistics times(milliseconds(1500));
  MonotonicTime now{seconds(100)};
  const auto answer = [&](int count, Duration duration) {
    for (int index = 0; index < count; ++index) {
      now += milliseconds(50);
      times.add(duration, now);
    }
  };
  answer(100, milliseconds(300));
  CHECK(times.geometricMeanMs() == Approx(300).epsilon(0.01));
  answer(200, milliseconds(30));
  CHECK(times.geometricMeanMs() == Approx(30).epsilon(0.05));
}

TEST_CASE("too few answers do not change the weight", "[locality]") {
  LocalityHarness harness;
  for (int half_second = 0; half_second < 20; ++half_second) {
    harness.time.elapsed += milliseconds(500);
    harness.router.onResponse(kFeed, true, milliseconds(200));
    if (half_second % 8 == 0) {
      harness.router.onResponse(kFeed, false, milliseconds(30));
    }
    harness.assess();
  }
  CHECK(harness.router.weight(kFeed, false) == 50);
}

TEST_CASE("the local fraction is stable while the ratio is within the hysteresis", "[locality]") {
  LocalityHarness harness;
  harness.advance(4, 45, 30);
  const double local_fraction = harness.router.localFraction(kFeed);
  harness.advance(20, 37, 30);
  CHECK(harness.router.localFraction(kFeed) <= local_fraction);
  const double later = harness.router.localFraction(kFeed);
  harness.advance(40, 37, 30);
  CHECK(harness.router.localFraction(kFeed) == Approx(later));
}

TEST_CASE("a reduction of the overflow that makes the zone slower is retried less often",
          "[locality]") {
  LocalityHarness harness;
  // The zone is slower above a local fraction of 0.8.
  int changes = 0;
  double last = harness.router.localFraction(kFeed);
  for (int half_second = 0; half_second < 240; ++half_second) {
    harness.advance(1, harness.router.localFraction(kFeed) > 0.8 ? 45 : 30, 30);
    if (half_second >= 120) {
      changes += harness.router.localFraction(kFeed) == last ? 0 : 1;
      CHECK(harness.router.localFraction(kFeed) > 0.6);
      CHECK(harness.router.localFraction(kFeed) < 0.9);
    }
    last = harness.router.localFraction(kFeed);
  }
  // Number of changes in the last minute.
  CHECK(changes < 30);
}

/** 120 idle backends, every third of them in the local zone. */
struct IdleBackends : CandidateSet {
  explicit IdleBackends(double initial_weight) : local_weight(initial_weight) {
    for (std::uint32_t id = 1; id <= 120; ++id) {
      backends.push_back(makeBackend(id, kFeed, id % 3 == 0 ? kLac : kAriana));
    }
  }
  std::size_t size() const override { return backends.size(); }
  const Backend& backend(std::size_t index) const override { return backends[index]; }
  double estimatedLoad(std::size_t) const override { return 0; }
  double reportedLoad(std::size_t) const override { return 0; }
  double weight(std::size_t index) const override {
    return backends[index].zone == kLac ? local_weight : 1;
  }
  std::vector<Backend> backends;
  double local_weight;
};

TEST_CASE("balancers one level apart choose the same backend for nearly all flows", "[locality]") {
  const auto random = makeSeededRandom(5);
  LocalityHarness harness;
  BoundedRendezvousPolicy policy;
  std::vector<double> weights = {harness.router.weight(kFeed, false)};
  while (harness.router.localFraction(kFeed) > 0.34) {
    harness.advance(1, 42, 30);
    weights.push_back(harness.router.weight(kFeed, false));
  }
  REQUIRE(weights.size() >= 16);
  for (std::size_t step = 1; step < weights.size(); ++step) {
    const IdleBackends before(weights[step - 1]);
    const IdleBackends after(weights[step]);
    int equal_choices = 0;
    for (std::uint64_t flow = 0; flow < 1000; ++flow) {
      const FlowId id{7, flow};
      equal_choices +=
          policy.choose(before, id, *random) == policy.choose(after, id, *random) ? 1 : 0;
    }
    CHECK(equal_choices > 930);
  }
}

TEST_CASE("placed flows are counted by zone and cause", "[locality]") {
  LocalityHarness harness;
  harness.router.onPlaced(kFeed, true);
  harness.router.onPlaced(kFeed, false);
  harness.capacity.local_usable_slots = 0;
  harness.assess();
  harness.router.onPlaced(kFeed, false);
  const LocalityCounters counters = harness.router.counters(kFeed);
  CHECK(counters.local_zone == 1);
  CHECK(counters.remote_by_cause[static_cast<std::size_t>(OverflowCause::None)] == 1);
  CHECK(counters.remote_by_cause[static_cast<std::size_t>(OverflowCause::Capacity)] == 1);
}

}  // namespace
}  // namespace lugfork
