#include "flow/locality_router.h"

#include <catch2/catch.hpp>

#include "flow/policy/bounded_rendezvous_policy.h"
#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr ServiceId kFeed{1};

/** One router, of a zone with a third of the slots. */
struct LocalityHarness {
  explicit LocalityHarness(LocalityMode mode = LocalityMode::Adaptive)
      : router(make(mode), time, log) {
    assess();
  }

  static LocalitySettings make(LocalityMode mode) {
    LocalitySettings settings;
    settings.mode = mode;
    settings.largest_weight = 50;
    settings.largest_bulk_weight = 80;
    return settings;
  }

  void assess() {
    const Service service{kFeed, "feed", kListen, {kLac, kAriana}};
    router.assess(service, capacity);
  }

  /** Lets that many half seconds pass, each with some answers from both sides. */
  void pass(int halves, int own_ms, int others_ms) {
    for (int half = 0; half < halves; ++half) {
      for (int answer = 0; answer < 10; ++answer) {
        time.elapsed += milliseconds(50);
        // Spread as work of one kind is: by a third around its mean.
        router.onResponse(kFeed, true, milliseconds(own_ms * (answer % 2 == 0 ? 4 : 2) / 3));
        router.onResponse(kFeed, false, milliseconds(others_ms * (answer % 2 == 0 ? 4 : 2) / 3));
      }
      assess();
    }
  }

  ManualTimeSource time;
  NullEventLog log;
  LocalityCapacity capacity{40, 40, 120, 120, 3};
  LocalityRouter router;
};

TEST_CASE("a zone with its part of the slots has the largest weight", "[locality]") {
  LocalityHarness harness;
  CHECK(harness.router.weight(kFeed, false) == 50);
  CHECK(harness.router.weight(kFeed, true) == 80);
  CHECK(harness.router.cause(kFeed) == OverflowCause::None);
  // Services that were never assessed, too.
  CHECK(harness.router.weight(ServiceId(9), false) == 50);
}

TEST_CASE("the own zone has the largest weight once no other zone has slots", "[locality]") {
  LocalityHarness harness;
  harness.pass(6, 100, 20);
  REQUIRE(harness.router.weight(kFeed, false) < 50);
  harness.capacity = {40, 40, 40, 40, 3};
  // Late answers of the own zone, beside what is remembered of the others, move nothing now.
  for (int answer = 0; answer < 40; ++answer) {
    harness.time.elapsed += milliseconds(50);
    harness.router.onResponse(kFeed, true, milliseconds(100));
    harness.assess();
    REQUIRE(harness.router.weight(kFeed, false) == 50);
    REQUIRE(harness.router.ownShare(kFeed) == 1);
  }
}

TEST_CASE("the own zone's share follows its usable slots at once, and back step by step",
          "[locality]") {
  struct Row {
    const char* name;
    double own_usable;
    double all_usable;
    double most_share;
    double least_share;
  };
  const Row rows[] = {
      {"half of the slots carry the zone's part at common loads", 20, 100, 1, 0.95},
      {"a quarter does not", 10, 90, 0.70, 0.55},
      {"one server of forty", 1, 81, 0.35, 0.33},
      {"none that answers", 0, 80, 0.35, 0.33},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    LocalityHarness harness;
    harness.capacity.own_usable = row.own_usable;
    harness.capacity.all_usable = row.all_usable;
    harness.assess();
    const double share = harness.router.ownShare(kFeed);
    CHECK(share <= row.most_share);
    CHECK(share >= row.least_share);
    harness.capacity = LocalityCapacity{40, 40, 120, 120, 3};
    harness.assess();
    // Callers must not all come at once to a zone that is just back.
    CHECK(harness.router.ownShare(kFeed) == Approx(share));
    harness.pass(60, 30, 30);
    CHECK(harness.router.weight(kFeed, false) == 50);
    CHECK(harness.router.cause(kFeed) == OverflowCause::None);
  }
}

TEST_CASE("with the constant mode neither slots nor times change the weight", "[locality]") {
  LocalityHarness harness(LocalityMode::Constant);
  harness.capacity.own_usable = 1;
  harness.assess();
  harness.pass(20, 300, 30);
  CHECK(harness.router.weight(kFeed, false) == 50);
}

TEST_CASE("late answers of the own zone send flows beyond, in time ones bring them back",
          "[locality]") {
  LocalityHarness harness;
  harness.pass(4, 45, 30);
  const double first = harness.router.ownShare(kFeed);
  CHECK(first < 0.95);
  CHECK(first > 0.5);
  CHECK(harness.router.cause(kFeed) == OverflowCause::ResponseTime);
  harness.pass(30, 60, 30);
  // Never fewer than the zone's slots would get by themselves.
  CHECK(harness.router.ownShare(kFeed) == Approx(1.0 / 3));
  CHECK(harness.router.weight(kFeed, true) == Approx(1));
  harness.pass(60, 30, 30);
  CHECK(harness.router.weight(kFeed, false) == 50);
}

TEST_CASE("differences that tell nothing leave the share where it is", "[locality]") {
  struct Row {
    const char* name;
    int own_ms;
    int others_ms;
  };
  const Row rows[] = {
      {"as fast as others", 30, 30},
      {"faster than others", 30, 60},
      {"a little slower", 36, 30},
      {"twice as slow, but by less than anyone notices", 9, 5},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    LocalityHarness harness;
    harness.pass(40, row.own_ms, row.others_ms);
    CHECK(harness.router.weight(kFeed, false) == 50);
  }
}

TEST_CASE("refusals of full queues do not make the own zone look fast", "[locality]") {
  LocalityHarness harness;
  for (int half = 0; half < 20; ++half) {
    harness.pass(1, 90, 30);
    // Half of the answers are refusals.
    for (int refusal = 0; refusal < 10; ++refusal) {
      harness.router.onResponse(kFeed, true, milliseconds(1));
    }
  }
  CHECK(harness.router.ownShare(kFeed) < 0.4);
}

TEST_CASE("a service that becomes much faster is known as fast again", "[locality]") {
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

TEST_CASE("few answers are no reason to send flows beyond", "[locality]") {
  LocalityHarness harness;
  for (int half = 0; half < 20; ++half) {
    harness.time.elapsed += milliseconds(500);
    harness.router.onResponse(kFeed, true, milliseconds(200));
    if (half % 8 == 0) {
      harness.router.onResponse(kFeed, false, milliseconds(30));
    }
    harness.assess();
  }
  CHECK(harness.router.weight(kFeed, false) == 50);
}

TEST_CASE("a share between the bounds stands still", "[locality]") {
  LocalityHarness harness;
  harness.pass(4, 45, 30);
  const double share = harness.router.ownShare(kFeed);
  harness.pass(20, 37, 30);
  CHECK(harness.router.ownShare(kFeed) <= share);
  const double later = harness.router.ownShare(kFeed);
  harness.pass(40, 37, 30);
  CHECK(harness.router.ownShare(kFeed) == Approx(later));
}

TEST_CASE("a step back that makes the zone late again is tried again less often", "[locality]") {
  LocalityHarness harness;
  // The zone is in time up to a share of 0.8.
  int changes = 0;
  double last = harness.router.ownShare(kFeed);
  for (int half = 0; half < 240; ++half) {
    harness.pass(1, harness.router.ownShare(kFeed) > 0.8 ? 45 : 30, 30);
    if (half >= 120) {
      changes += harness.router.ownShare(kFeed) == last ? 0 : 1;
      CHECK(harness.router.ownShare(kFeed) > 0.6);
      CHECK(harness.router.ownShare(kFeed) < 0.9);
    }
    last = harness.router.ownShare(kFeed);
  }
  // In the last minute.
  CHECK(changes < 30);
}

/** 120 idle servers, each third in the own zone. */
struct IdleServers : CandidateSet {
  explicit IdleServers(double own_weight) : weight_of_own(own_weight) {
    for (std::uint32_t id = 1; id <= 120; ++id) {
      servers.push_back(makeBackend(id, kFeed, id % 3 == 0 ? kLac : kAriana));
    }
  }
  std::size_t size() const override { return servers.size(); }
  const Backend& backend(std::size_t index) const override { return servers[index]; }
  double estimatedLoad(std::size_t) const override { return 0; }
  double reportedLoad(std::size_t) const override { return 0; }
  double weight(std::size_t index) const override {
    return servers[index].zone == kLac ? weight_of_own : 1;
  }
  std::vector<Backend> servers;
  double weight_of_own;
};

TEST_CASE("balancers whose shares differ by a step place nearly all flows alike", "[locality]") {
  const auto random = makeSeededRandom(5);
  LocalityHarness harness;
  BoundedRendezvousPolicy policy;
  std::vector<double> weights = {harness.router.weight(kFeed, false)};
  while (harness.router.ownShare(kFeed) > 0.34) {
    harness.pass(1, 42, 30);
    weights.push_back(harness.router.weight(kFeed, false));
  }
  REQUIRE(weights.size() >= 16);
  for (std::size_t step = 1; step < weights.size(); ++step) {
    const IdleServers before(weights[step - 1]);
    const IdleServers after(weights[step]);
    int alike = 0;
    for (std::uint64_t flow = 0; flow < 1000; ++flow) {
      const FlowId id{7, flow};
      alike += policy.choose(before, id, *random) == policy.choose(after, id, *random) ? 1 : 0;
    }
    CHECK(alike > 930);
  }
}

TEST_CASE("flows are counted by where they go and why", "[locality]") {
  LocalityHarness harness;
  harness.router.onPlaced(kFeed, true);
  harness.router.onPlaced(kFeed, false);
  harness.capacity.own_usable = 0;
  harness.assess();
  harness.router.onPlaced(kFeed, false);
  const LocalityCounters counters = harness.router.counters(kFeed);
  CHECK(counters.own_zone == 1);
  CHECK(counters.beyond[static_cast<std::size_t>(OverflowCause::None)] == 1);
  CHECK(counters.beyond[static_cast<std::size_t>(OverflowCause::Capacity)] == 1);
}

}  // namespace
}  // namespace lugfork
