#include "balancer/control_work_meter.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Minimum CPU time of a slice that is logged: packets wait at least as long. */
constexpr Duration kMinLoggedSlice = milliseconds(5);

}  // namespace

const char* toString(ControlWork work) {
  switch (work) {
    case ControlWork::Items:
      return "items";
    case ControlWork::Configuration:
      return "configuration";
  }
  return "unknown";
}

void ControlWorkMeter::record(ControlWork kind, std::uint64_t units, Duration cpu_time) {
  ControlWorkCost& cost = costs_[static_cast<std::size_t>(kind)];
  ++cost.slices;
  cost.units += units;
  cost.cpu_time += cpu_time;
  cost.max_slice = std::max(cost.max_slice, cpu_time);
  if (cpu_time >= kMinLoggedSlice) {
    log_.write(LogLevel::Info, "node", "control_work_long",
               {{"kind", toString(kind)},
                {"units", units},
                {"processor_us", static_cast<std::int64_t>(cpu_time.count())}});
  }
}

}  // namespace lugfork
