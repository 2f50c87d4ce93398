#include "runtime/process_times.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

TEST_CASE("a process began before now and after the machine did", "[process_times]") {
  const auto started_at = processStartedAt();
  REQUIRE(started_at.has_value());
  CHECK(*started_at > Duration::zero());
  CHECK(*started_at <= machineTime());
}

TEST_CASE("processor time only grows", "[process_times]") {
  const Duration before = processorTime();
  CHECK(before > Duration::zero());
  CHECK(processorTime() >= before);
}

}  // namespace
}  // namespace lugfork
