#include "runtime/process_times.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

TEST_CASE("the process start time lies between boot and now", "[process_times]") {
  const auto started_at = processStartedAt();
  REQUIRE(started_at.has_value());
  CHECK(*started_at > Duration::zero());
  CHECK(*started_at <= timeSinceBoot());
}

TEST_CASE("CPU time does not decrease", "[process_times]") {
  const Duration before = cpuTime();
  CHECK(before > Duration::zero());
  CHECK(cpuTime() >= before);
}

}  // namespace
}  // namespace lugfork
