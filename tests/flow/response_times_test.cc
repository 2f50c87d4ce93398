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

TEST_CASE("slow backend gets a proportional fraction of flows, others the full amount",
          "[response]") {
  Harness harness;
  harness.recordAllAnswers(milliseconds(20), 4, milliseconds(80));
  CHECK(harness.flowFraction(4) == Approx(0.25));
  CHECK(harness.flowFraction(5) == 1);
  CHECK(harness.flowFraction(99) == 1);
}

TEST_CASE("backend below the slow ratio gets the full amount, a very slow one the minimum",
          "[response]") {
  Harness harness;
  harness.recordAllAnswers(milliseconds(20), 4, milliseconds(28));
  CHECK(harness.flowFraction(4) == 1);
  harness.recordAllAnswers(milliseconds(20), 4, seconds(10));
  CHECK(harness.flowFraction(4) == Approx(0.1));
}

TEST_CASE("recovered backend, or one without recent samples, gets the full amount", "[response]") {
  Harness harness;
  harness.recordAllAnswers(milliseconds(20), 4, milliseconds(80));
  SECTION("it answers fast again") {
    harness.recordAllAnswers(milliseconds(20), 4, milliseconds(20));
  }
  SECTION("its samples have expired") {
    harness.time.elapsed += seconds(4);
    harness.times.compare(*harness.view);
  }
  CHECK(harness.flowFraction(4) == 1);
}

TEST_CASE("too few samples or backends are not compared", "[response]") {
  Harness harness;
  SECTION("two samples") {
    harness.recordAllAnswers(milliseconds(20), 0, Duration::zero());
    harness.time.elapsed += seconds(4);
    for (std::uint32_t id = 1; id <= kBackends; ++id) {
      harness.recordAnswers(id, id == 4 ? 2 : 10, id == 4 ? milliseconds(200) : milliseconds(20));
    }
  }
  SECTION("two backends") {
    harness.recordAnswers(3, 10, milliseconds(20));
    harness.recordAnswers(4, 10, milliseconds(200));
  }
  harness.times.compare(*harness.view);
  CHECK(harness.flowFraction(4) == 1);
}

TEST_CASE("removed backends are not tracked", "[response]") {
  Harness harness;
  harness.recordAllAnswers(milliseconds(20), 4, milliseconds(80));
  harness.times.retain(ConfigurationView(Configuration()));
  CHECK(harness.flowFraction(4) == 1);
}

}  // namespace
}  // namespace lugfork
