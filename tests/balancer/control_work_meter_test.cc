#include "balancer/control_work_meter.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lugfork {
namespace {

struct ManualProcessorClock : CpuClock {
  Duration used() const override { return cpu_time_used; }
  Duration cpu_time_used{};
};

struct RecordingLog : EventLog {
  void write(LogLevel, std::string_view, std::string_view event,
             std::initializer_list<LogField>) override {
    events.emplace_back(event);
  }
  std::vector<std::string> events;
};

TEST_CASE("slices are counted by kind, and only a long slice is logged", "[control_work]") {
  ManualProcessorClock clock;
  RecordingLog log;
  ControlWorkMeter meter(log);
  meter.setClock(clock);
  const auto work = [&](ControlWork kind, Duration duration, std::uint64_t units) {
    meter.measure(kind, [&] {
      clock.cpu_time_used += duration;
      return units;
    });
  };
  work(ControlWork::Items, milliseconds(1), 3);
  work(ControlWork::Items, milliseconds(4), 5);
  CHECK(log.events.empty());
  work(ControlWork::Configuration, milliseconds(5), 3000);
  CHECK(log.events == std::vector<std::string>{"control_work_long"});
  CHECK(meter.cost(ControlWork::Items).slices == 2);
  CHECK(meter.cost(ControlWork::Items).units == 8);
  CHECK(meter.cost(ControlWork::Items).cpu_time == milliseconds(5));
  CHECK(meter.cost(ControlWork::Items).max_slice == milliseconds(4));
  CHECK(meter.cost(ControlWork::Configuration).slices == 1);
}

TEST_CASE("without a clock slices and units are still counted", "[control_work]") {
  RecordingLog log;
  ControlWorkMeter meter(log);
  meter.measure(ControlWork::Items, [] { return std::uint64_t{7}; });
  CHECK(meter.cost(ControlWork::Items).units == 7);
  CHECK(meter.cost(ControlWork::Items).cpu_time == Duration::zero());
}

}  // namespace
}  // namespace lugfork
