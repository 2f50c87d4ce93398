#include "flow/response_times.h"

#include <catch2/catch.hpp>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kBackends = 10;

struct Harness {
  Harness() {
    Configuration configuration = twoServices();
    configuration.backends.clear();
    for (std::uint32_t id = 1; id <= kBackends; ++id) {
      configuration.backends.push_back(makeBackend(id, ServiceId(1), kLac));
    }
    view = viewOf(configuration);
  }

  void recordAnswers(std::uint32_t id, int count, Duration duration) {
    for (int sample = 0; sample < count; ++sample) {
      times.onResponse(BackendId(id), duration);
    }
  }

  void recordAllAnswers(Duration normal, std::uint32_t slow_id, Duration slow) {
    for (std::uint32_t id = 1; id <= kBackends; ++id) {
      recordAnswers(id, 10, id == slow_id ? slow : normal);
    }
    times.compare(*view);
  }

  double flowFraction(std::uint32_t id) const { return times.flowFractionOf(BackendId(id)); }

  ManualTimeSource time;
  ConfigurationViewPtr view;
  ResponseTimes times{{}, time};
};

TEST_CASE("a slow back end gets a share in proportion, the others all of theirs", "[response]") {
  Harness harness;
  harness.recordAllAnswers(milliseconds(20), 4, milliseconds(80));
  CHECK(harness.flowFraction(4) == Approx(0.25));
  CHECK(harness.flowFraction(5) == 1);
  CHECK(harness.flowFraction(99) == 1);
}

TEST_CASE("nearly as fast as the others is not slow, and the slowest gets something",
          "[response]") {
  Harness harness;
  harness.recordAllAnswers(milliseconds(20), 4, milliseconds(28));
  CHECK(harness.flowFraction(4) == 1);
  harness.recordAllAnswers(milliseconds(20), 4, seconds(10));
  CHECK(harness.flowFraction(4) == Approx(0.1));
}

TEST_CASE("a back end that recovers gets its flows back, also where it is not heard of",
          "[response]") {
  Harness harness;
  harness.recordAllAnswers(milliseconds(20), 4, milliseconds(80));
  SECTION("it answers fast again") {
    harness.recordAllAnswers(milliseconds(20), 4, milliseconds(20));
  }
  SECTION("nothing is known any more") {
    harness.time.elapsed += seconds(4);
    harness.times.compare(*harness.view);
  }
  CHECK(harness.flowFraction(4) == 1);
}

TEST_CASE("too few samples or back ends prove nothing", "[response]") {
  Harness harness;
  SECTION("two samples") {
    harness.recordAllAnswers(milliseconds(20), 0, Duration::zero());
    harness.time.elapsed += seconds(4);
    for (std::uint32_t id = 1; id <= kBackends; ++id) {
      harness.recordAnswers(id, id == 4 ? 2 : 10, id == 4 ? milliseconds(200) : milliseconds(20));
    }
  }
  SECTION("two back ends") {
    harness.recordAnswers(3, 10, milliseconds(20));
    harness.recordAnswers(4, 10, milliseconds(200));
  }
  harness.times.compare(*harness.view);
  CHECK(harness.flowFraction(4) == 1);
}

TEST_CASE("back ends that are gone are forgotten", "[response]") {
  Harness harness;
  harness.recordAllAnswers(milliseconds(20), 4, milliseconds(80));
  harness.times.retain(ConfigurationView(Configuration()));
  CHECK(harness.flowFraction(4) == 1);
}

}  // namespace
}  // namespace lugfork
