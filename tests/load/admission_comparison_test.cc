#include <catch2/catch.hpp>
#include <cstdio>

#include "load/admission_replay.h"

namespace lugfork {

namespace {

void print(const char* name, const std::string& mode, const ReplayOutcome& outcome) {
  std::printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.2f | %.2f to %.2f |\n", name, mode.c_str(),
              outcome.urgent.inTimeFraction(), outcome.other.inTimeFraction(),
              outcome.weightedInTimeFraction(), outcome.backendRejectionFraction(),
              outcome.requestsPerSlot(), outcome.min_level, outcome.max_level);
}

}  // namespace

TEST_CASE("table of pressure policies", "[.table]") {
  for (const char* mode : {"off", "in_flight", "response_time", "share"}) {
    for (const double load : {0.78, 1.0, 1.29, 2.0}) {
      AdmissionReplay replay({mode});
      replay.run(seconds(5), 0.5);
      replay.run(seconds(5), load);
      print(("15/20 ms, " + std::to_string(load).substr(0, 4)).c_str(), mode,
            replay.run(seconds(40), load));
    }
    {
      AdmissionReplay replay({mode});
      replay.run(seconds(5), 0.5);
      print("15/20 ms, burst of 6 times", mode, replay.run(seconds(6), 3.0));
      replay.run(seconds(2), 0.5);
      print("15/20 ms, 2 s after it", mode, replay.run(seconds(5), 0.5));
    }
    for (const std::uint32_t balancers : {20U, 10U, 3U}) {
      for (const double load : {0.78, 1.29, 2.0}) {
        AdmissionReplay replay({mode, {milliseconds(700)}, milliseconds(3000), balancers});
        replay.run(seconds(20), 0.5);
        replay.run(seconds(20), load);
        print(("700 ms, " + std::to_string(balancers) + " balancers, " +
               std::to_string(load).substr(0, 4))
                  .c_str(),
              mode, replay.run(seconds(60), load));
      }
    }
  }
}

}  // namespace lugfork
