#include "load/load_control.h"

#include <catch2/catch.hpp>

#include "load/admission_replay.h"

namespace lugfork {

namespace {

/** Records the times and fields of admission_changed. */
struct AdmissionLog : EventLog {
  explicit AdmissionLog(const TimeSource& source) : clock(source) {}
  void write(LogLevel, std::string_view component, std::string_view event,
             std::initializer_list<LogField> fields) override {
    CHECK(component == "load");
    CHECK(event == "admission_changed");
    times.push_back(clock.monotonicTime());
    names.clear();
    for (const LogField& field : fields) {
      names.emplace_back(field.name);
    }
    levels.push_back(std::get<double>((fields.begin() + 1)->value));
  }
  const TimeSource& clock;
  std::vector<MonotonicTime> times;
  std::vector<double> levels;
  std::vector<std::string> names;
};

}  // namespace

TEST_CASE(
    "at 129% of the slots urgent requests are served in time and others get the remaining slots") {
  AdmissionReplay replay({GENERATE("in_flight", "response_time", "share")});
  replay.run(seconds(5), 0.5);
  replay.run(seconds(5), 1.29);
  const ReplayOutcome outcome = replay.run(seconds(40), 1.29);
  CHECK(outcome.urgent.inTimeFraction() > 0.9);
  CHECK(outcome.other.inTimeFraction() > 0.35);
  CHECK(outcome.weightedInTimeFraction() >= 0.72);
  CHECK(outcome.backendRejectionFraction() < 0.02);
  CHECK(outcome.requestsPerSlot() > 1.2);
  CHECK(outcome.requestsPerSlot() < 2.5);
  CHECK(outcome.max_level - outcome.min_level < 0.25);
}

TEST_CASE("in_flight policy detects an overload that began before the balancers started") {
  AdmissionReplay replay({"in_flight"});
  replay.run(seconds(10), 1.29);
  const ReplayOutcome outcome = replay.run(seconds(20), 1.29);
  CHECK(outcome.urgent.inTimeFraction() > 0.9);
  CHECK(outcome.weightedInTimeFraction() >= 0.72);
}

TEST_CASE(
    "late acknowledgements of responses don't count while other clients acknowledge promptly") {
  LoadClock clock;
  NullEventLog log;
  LoadControl control(LoadControlSettings(), clock, log);
  for (int i = 0; i < 100; ++i) {
    clock.elapsed += milliseconds(10);
    control.onRequest(ServiceId(1));
    control.onResponse(ServiceId(1), milliseconds(20), true);
    control.onResponse(ServiceId(1), milliseconds(60), false);
  }
  CHECK(control.load(ServiceId(1)).response_time > milliseconds(19));
  CHECK(control.load(ServiceId(1)).response_time < milliseconds(21));
  // Once no client acknowledges promptly any more, the late ones count.
  clock.elapsed += seconds(6);
  for (int i = 0; i < 100; ++i) {
    clock.elapsed += milliseconds(10);
    control.onResponse(ServiceId(1), milliseconds(60), false);
  }
  CHECK(control.load(ServiceId(1)).response_time > milliseconds(50));
}

TEST_CASE("at most 1% is rejected while demand is below the slots") {
  const char* mode = GENERATE("in_flight", "response_time", "share");
  const Duration work = GENERATE(milliseconds(17), milliseconds(700));
  // With 290 balancers each one receives 6 requests of 17 ms per second.
  const std::uint32_t balancers = GENERATE(3U, 20U, 290U);
  AdmissionReplay replay({mode, {work}, 5 * work, balancers});
  replay.run(seconds(20), 0.5);
  const ReplayOutcome outcome = replay.run(seconds(40), 0.78);
  CAPTURE(mode, work.count(), balancers);
  CHECK(outcome.rejection_count <= 0.01 * outcome.sent_count);
  CHECK(outcome.weightedInTimeFraction() > 0.98);
}

TEST_CASE("at 200% of the slots urgent requests are served in time") {
  AdmissionReplay replay({GENERATE("in_flight", "response_time", "share")});
  replay.run(seconds(5), 0.5);
  replay.run(seconds(5), 2);
  const ReplayOutcome outcome = replay.run(seconds(40), 2);
  CHECK(outcome.urgent.inTimeFraction() > 0.9);
  CHECK(outcome.backendRejectionFraction() < 0.02);
}

TEST_CASE("response_time policy limits slow work if a balancer receives enough of it") {
  AdmissionReplay replay({"response_time", {milliseconds(700)}, seconds(3), 10});
  replay.run(seconds(20), 0.5);
  replay.run(seconds(20), 1.29);
  const ReplayOutcome outcome = replay.run(seconds(60), 1.29);
  CHECK(outcome.urgent.inTimeFraction() > 0.8);
  CHECK(outcome.backendRejectionFraction() < 0.05);
}

TEST_CASE("a single class fills the slots") {
  ReplaySettings settings;
  settings.mode = GENERATE("in_flight", "response_time", "share");
  settings.urgent_fraction = 0;
  AdmissionReplay replay(settings);
  replay.run(seconds(5), 0.5);
  replay.run(seconds(5), 1.29);
  const ReplayOutcome outcome = replay.run(seconds(20), 1.29);
  CHECK(outcome.other.inTimeFraction() > 0.68);
  CHECK(outcome.backendRejectionFraction() < 0.05);
}

TEST_CASE("after a sixfold burst all levels fall to zero within two seconds") {
  AdmissionReplay replay({GENERATE("in_flight", "response_time", "share")});
  replay.run(seconds(5), 0.5);
  const ReplayOutcome burst = replay.run(seconds(6), 3);
  CHECK(burst.urgent.inTimeFraction() > 0.5);
  replay.run(seconds(2), 0.5);
  const ReplayOutcome after = replay.run(seconds(5), 0.5);
  CHECK(after.rejection_count == 0);
  CHECK(after.weightedInTimeFraction() > 0.99);
}

TEST_CASE("balancers that start during an overload keep serving urgent requests in time") {
  AdmissionReplay replay({"response_time"});
  replay.run(seconds(5), 0.5);
  replay.run(seconds(10), 1.29);
  for (std::size_t index = 0; index < 5; ++index) {
    replay.restart(index);
  }
  const ReplayOutcome outcome = replay.run(seconds(10), 1.29);
  CHECK(outcome.urgent.inTimeFraction() > 0.9);
  CHECK(outcome.weightedInTimeFraction() >= 0.72);
}

TEST_CASE("an overload of minutes is limited like one of seconds") {
  AdmissionReplay replay({"response_time"});
  replay.run(seconds(5), 0.5);
  replay.run(seconds(240), 1.29);
  const ReplayOutcome outcome = replay.run(seconds(20), 1.29);
  CHECK(outcome.urgent.inTimeFraction() > 0.9);
  CHECK(outcome.weightedInTimeFraction() >= 0.72);
  CHECK(outcome.requestsPerSlot() < 2.6);
}

TEST_CASE("mode off admits all flows and counts them by priority; modes are recognized by name") {
  AdmissionReplay replay({"off"});
  CHECK(replay.run(seconds(5), 2).rejection_count == 0);
  const auto counters = replay.balancer(0).counters(ServiceId(1));
  CHECK(counters[0].offered > 0);
  CHECK(counters[0].offered == counters[0].admitted);
  CHECK(counters[1].rejected == 0);
  CHECK(LoadControl::isMode("off"));
  CHECK(LoadControl::isMode("share"));
  CHECK(LoadControl::isMode("in_flight"));
  CHECK_FALSE(LoadControl::isMode("guess"));
}

TEST_CASE("changes of the admission level are logged at most once per second") {
  LoadClock clock;
  AdmissionLog log(clock);
  LoadControlSettings settings;
  settings.mode = "response_time";
  LoadControl control(settings, clock, log);
  const ConfigurationView view(replayConfiguration(1));
  std::uint64_t flows = 0;
  for (int step = 0; step < 150; ++step) {
    const bool is_overload = step >= 50 && step < 100;
    for (int i = 0; i < 30; ++i) {
      if (control.admits(*view.service(ServiceId(1)), {}, FlowId{++flows, 3})) {
        control.onRequest(ServiceId(1));
        control.onResponse(ServiceId(1), milliseconds(is_overload ? 80 : 20));
      }
    }
    clock.elapsed += milliseconds(100);
    control.tick(view, 1);
  }
  REQUIRE(log.levels.size() >= 2);
  CHECK(log.levels.front() > 0);
  CHECK(log.levels.back() == 0);
  for (std::size_t index = 1; index < log.times.size(); ++index) {
    CHECK(log.times[index] - log.times[index - 1] >= seconds(1));
  }
  CHECK(log.names == std::vector<std::string>{"service", "level", "cause", "requests_per_slot",
                                              "service_time_ms", "response_time_ms", "offered",
                                              "rejected"});
}

}  // namespace lugfork
