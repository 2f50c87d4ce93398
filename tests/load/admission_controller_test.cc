#include "load/admission_controller.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

#include "load/admission_replay.h"

namespace lugfork {

namespace {

const RequestClass kUrgent{0, milliseconds(150), {}};
const RequestClass kOther{3, milliseconds(150), {}};

/** Policy with a pressure that the test sets. */
struct ManualPressurePolicy : PressurePolicy {
  explicit ManualPressurePolicy(const double& source) : value(source) {}
  double pressure(const PressureInput&) const override { return value; }
  const double& value;
};

/** One controller with response times of 20 ms that has all four slots: 200 flows per second. */
struct ControllerHarness {
  /**
   * Advances the time by a tenth of a second, with that many flows of each class and a response
   * time.
   */
  void advanceTenthSecond(int urgent, int others, Duration response_time = milliseconds(20)) {
    rejected_urgent = rejected_others = 0;
    for (int i = 0; i < urgent + others; ++i) {
      const bool is_urgent = i < urgent;
      const FlowId flow{random->next(), 1};
      if (controller.admits(*view->service(ServiceId(1)), is_urgent ? kUrgent : kOther, flow)) {
        loads.onRequest(ServiceId(1));
        loads.onResponse(ServiceId(1), response_time);
      } else {
        ++(is_urgent ? rejected_urgent : rejected_others);
      }
    }
    clock.elapsed += milliseconds(100);
    controller.tick(*view, 1);
  }

  double level() const { return controller.level(ServiceId(1)); }

  LoadClock clock;
  double pressure = 0;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(5);
  ConfigurationViewPtr view = std::make_shared<const ConfigurationView>(replayConfiguration(2));
  ServiceLoadEstimator loads{ServiceLoadSettings(), clock};
  AdmissionController controller{AdmissionSettings(), loads,
                                 std::make_unique<ManualPressurePolicy>(pressure), clock};
  int rejected_urgent = 0;
  int rejected_others = 0;
};

}  // namespace

TEST_CASE("most urgent class loses at most the excess of its own demand over the slots") {
  ControllerHarness harness;
  harness.pressure = 5;
  for (int i = 0; i < 100; ++i) {
    harness.advanceTenthSecond(15, 15);
    CHECK(harness.rejected_urgent == 0);
  }
  CHECK(harness.level() == Approx(1));
  int rejected = 0;
  for (int i = 0; i < 100; ++i) {
    harness.advanceTenthSecond(30, 0);
    rejected += i >= 50 ? harness.rejected_urgent : 0;
  }
  // 300 flows per second are offered; the slots serve 200.
  CHECK(rejected / 1500.0 == Approx(1.0 / 3).margin(0.06));
}

TEST_CASE("requests on open flows of other classes cause no rejection of urgent flows") {
  ControllerHarness harness;
  harness.pressure = 5;
  for (int i = 0; i < 100; ++i) {
    // No response without queueing was ever observed, so the slots seem to be four times fewer.
    for (int request = 0; request < 12; ++request) {
      harness.loads.onRequest(ServiceId(1));
      harness.loads.onResponse(ServiceId(1), milliseconds(80));
    }
    harness.advanceTenthSecond(8, 4, milliseconds(80));
    CHECK(harness.rejected_urgent == 0);
  }
  CHECK(harness.level() == Approx(1));
}

TEST_CASE(
    "no flow is rejected for a full zone while backends of another zone may have free slots") {
  PressureInput input;
  input.load.response_time = milliseconds(90);
  CHECK_FALSE(remoteBackendsMayHaveCapacity(input));
  input.has_remote_backends = true;
  CHECK(remoteBackendsMayHaveCapacity(input));
  input.remote_response_time = milliseconds(30);
  CHECK(remoteBackendsMayHaveCapacity(input));
  input.remote_response_time = milliseconds(80);
  CHECK_FALSE(remoteBackendsMayHaveCapacity(input));
}

TEST_CASE("admission level falls to zero within two seconds once the load ends or is unknown") {
  ControllerHarness harness;
  harness.pressure = 3;
  for (int i = 0; i < 50; ++i) {
    harness.advanceTenthSecond(20, 20);
  }
  REQUIRE(harness.level() > 0.5);
  const bool flows_stop = GENERATE(true, false);
  harness.pressure = flows_stop ? 3 : 0;
  for (int i = 0; i < 20; ++i) {
    harness.advanceTenthSecond(flows_stop ? 0 : 20, flows_stop ? 0 : 20);
  }
  CHECK(harness.level() == 0);
}

TEST_CASE(
    "balancers with the same level reject the same flows, and the level is the rejected fraction") {
  ControllerHarness first;
  ControllerHarness second;
  first.pressure = second.pressure = 1.3;
  for (int i = 0; i < 10; ++i) {
    first.advanceTenthSecond(10, 30);
    second.advanceTenthSecond(10, 30);
  }
  REQUIRE(first.level() == second.level());
  REQUIRE(first.level() > 0);
  REQUIRE(first.level() < 1);
  const Service& service = *first.view->service(ServiceId(1));
  int rejected = 0;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    const bool admitted = first.controller.admits(service, kOther, FlowId{i, 9});
    CHECK(admitted == second.controller.admits(service, kOther, FlowId{i, 9}));
    rejected += admitted ? 0 : 1;
  }
  CHECK(rejected / 2000.0 == Approx(first.level()).margin(0.05));
}

TEST_CASE("no flow is rejected while slots, service time or service are unknown") {
  const bool has_slots = GENERATE(true, false);
  const bool has_responses = GENERATE(true, false);
  for (const char* mode : {"response_time", "share"}) {
    LoadClock clock;
    NullEventLog log;
    LoadControlSettings settings;
    settings.mode = mode;
    LoadControl control(settings, clock, log);
    const ConfigurationView view(replayConfiguration(2, has_slots ? 2 : 0));
    const ConfigurationView empty{Configuration()};
    for (int i = 0; i < 50; ++i) {
      for (int flow = 0; flow < 40; ++flow) {
        const FlowId id{static_cast<std::uint64_t>(i), static_cast<std::uint64_t>(flow)};
        const RequestClass any{std::numeric_limits<std::uint32_t>::max(), {}, {}};
        const bool admitted = control.admits(*view.service(ServiceId(1)), any, id);
        CHECK((admitted || (has_slots && has_responses)));
        control.onRequest(ServiceId(1));
        if (has_responses) {
          control.onResponse(ServiceId(1), milliseconds(i < 25 ? 0 : 400));
        }
      }
      clock.elapsed += milliseconds(100);
      control.tick(i == 30 ? empty : view, 0);
      CHECK(std::isfinite(control.level(ServiceId(1))));
      CHECK(control.level(ServiceId(1)) <= 1);
    }
    CHECK(control.level(ServiceId(77)) == 0);
    CHECK(control.load(ServiceId(77)).requestsPerBusySlot() == 0);
    CHECK(control.counters(ServiceId(77))[0].offered == 0);
    // The service was removed for a moment: its counters hold the 40 flows of each of 19 steps.
    CHECK(control.counters(ServiceId(1))[kPriorityCount - 1].offered == 760);
  }
}

TEST_CASE("pressure depends on requests per slot, response time targets and free slots") {
  const PressureSettings settings;
  PressureInput input;
  input.usable_slots = 10;
  input.balancer_count = 2;
  input.load = {100, milliseconds(20), milliseconds(44), 20};
  const auto response_time_policy = makePressurePolicy("response_time", settings);
  const auto utilization_policy = makePressurePolicy("share", settings);
  CHECK(makePressurePolicy("off", settings) == nullptr);
  CHECK(response_time_policy->pressure(input) == Approx(1));
  CHECK(utilization_policy->pressure(input) == Approx(0.4 / 0.95));
  input.min_target = milliseconds(28);
  CHECK(response_time_policy->pressure(input) == Approx(2.2 / 1.7));
  input.load.in_flight = 2;
  CHECK(response_time_policy->pressure(input) == Approx(0.4));
  input.load.requests_per_second = 8;
  CHECK(utilization_policy->pressure(input) == 0);
  input.load = {};
  CHECK(response_time_policy->pressure(input) == 0);
  CHECK(utilization_policy->pressure(input) == 0);
}

}  // namespace lugfork
