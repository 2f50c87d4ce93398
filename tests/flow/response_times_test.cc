#include "flow/response_times.h"

#include <catch2/catch.hpp>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

constexpr std::uint32_t kBackends = 10;

struct ResponseHarness {
  ResponseHarness() {
    Configuration configuration = twoServices();
    configuration.backends.clear();
    for (std::uint32_t id = 1; id <= kBackends; ++id) {
      configuration.backends.push_back(makeBackend(id, ServiceId(1), kLac));
    }
    view = viewOf(configuration);
  }

  void answer(std::uint32_t id, int count, Duration duration) {
    for (int sample = 0; sample < count; ++sample) {
      times.onResponse(BackendId(id), duration);
    }
  }

  void answerAll(Duration usual, std::uint32_t slow_id, Duration slow) {
    for (std::uint32_t id = 1; id <= kBackends; ++id) {
      answer(id, 10, id == slow_id ? slow : usual);
    }
    times.compare(*view);
  }

  double share(std::uint32_t id) const { return times.flowFractionOf(BackendId(id)); }

  ManualTimeSource time;
  ConfigurationViewPtr view;
  ResponseTimes times{{}, time};
};

TEST_CASE("a slow back end gets a share in proportion, the others all of theirs", "[response]") {
  ResponseHarness harness;
  harness.answerAll(milliseconds(20), 4, milliseconds(80));
  CHECK(harness.share(4) == Approx(0.25));
  CHECK(harness.share(5) == 1);
  CHECK(harness.share(99) == 1);
}

TEST_CASE("nearly as fast as the others is not slow, and the slowest gets something",
          "[response]") {
  ResponseHarness harness;
  harness.answerAll(milliseconds(20), 4, milliseconds(28));
  CHECK(harness.share(4) == 1);
  harness.answerAll(milliseconds(20), 4, seconds(10));
  CHECK(harness.share(4) == Approx(0.1));
}

TEST_CASE("a back end that recovers gets its flows back, also where it is not heard of",
          "[response]") {
  ResponseHarness harness;
  harness.answerAll(milliseconds(20), 4, milliseconds(80));
  SECTION("it answers fast again") {
    harness.answerAll(milliseconds(20), 4, milliseconds(20));
  }
  SECTION("nothing is known any more") {
    harness.time.elapsed += seconds(4);
    harness.times.compare(*harness.view);
  }
  CHECK(harness.share(4) == 1);
}

TEST_CASE("too few samples or back ends prove nothing", "[response]") {
  ResponseHarness harness;
  SECTION("two samples") {
    harness.answerAll(milliseconds(20), 0, Duration::zero());
    harness.time.elapsed += seconds(4);
    for (std::uint32_t id = 1; id <= kBackends; ++id) {
      harness.answer(id, id == 4 ? 2 : 10, id == 4 ? milliseconds(200) : milliseconds(20));
    }
  }
  SECTION("two back ends") {
    harness.answer(3, 10, milliseconds(20));
    harness.answer(4, 10, milliseconds(200));
  }
  harness.times.compare(*harness.view);
  CHECK(harness.share(4) == 1);
}

TEST_CASE("back ends that are gone are forgotten", "[response]") {
  ResponseHarness harness;
  harness.answerAll(milliseconds(20), 4, milliseconds(80));
  harness.times.retain(ConfigurationView(Configuration()));
  CHECK(harness.share(4) == 1);
}

}  // namespace
}  // namespace lugfork
