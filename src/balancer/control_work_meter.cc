#include "balancer/control_work_meter.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Processor time from which a slice is logged: packets have to wait for so long, or longer. */
constexpr Duration kLongSlice = milliseconds(5);

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

void ControlWorkMeter::note(ControlWork kind, std::uint64_t units, Duration processor) {
  ControlWorkCost& cost = costs_[static_cast<std::size_t>(kind)];
  ++cost.slices;
  cost.units += units;
  cost.processor += processor;
  cost.longest = std::max(cost.longest, processor);
  if (processor >= kLongSlice) {
    log_.write(LogLevel::Info, "node", "control_work_long",
               {{"kind", toString(kind)},
                {"units", units},
                {"processor_us", static_cast<std::int64_t>(processor.count())}});
  }
}

}  // namespace lugfork
