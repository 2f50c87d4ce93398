#include "discovery/freshness_budget.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

TEST_CASE("the parts of the budget add up to the propagation limit", "[freshness_budget]") {
  const Duration bound = GENERATE(seconds(3), seconds(5), seconds(6), seconds(11));
  FreshnessBudget budget;
  budget.max_propagation_delay = bound;
  const Duration parts =
      budget.max_fresh_age + budget.poll_interval + budget.maxSpread() + budget.store_answer_time;
  CHECK(parts == bound);
  CHECK(budget.probeAge(1.0, budget.maxSpread()) == budget.maxProbeAge());
  CHECK(budget.probeAge(0.0, budget.maxSpread()) == budget.max_fresh_age + budget.poll_interval);
}

TEST_CASE("balancers call the store in rank order, none after the maximum age",
          "[freshness_budget]") {
  const Duration spread = GENERATE(Duration::zero(), milliseconds(500), seconds(60));
  const FreshnessBudget budget;
  Duration before{};
  for (const double rank_fraction : {0.0, 0.25, 0.5, 0.75, 1.0}) {
    const Duration age = budget.probeAge(rank_fraction, spread);
    CHECK(age >= before);
    CHECK(age <= budget.maxProbeAge());
    CHECK(age >= budget.maxProbeAge() - spread);
    before = age;
  }
}

TEST_CASE("a limit shorter than the store's answer time leaves no delay", "[freshness_budget]") {
  FreshnessBudget budget;
  budget.max_propagation_delay = milliseconds(500);
  CHECK(budget.maxProbeAge() == Duration::zero());
  CHECK(budget.maxSpread() == Duration::zero());
  CHECK(budget.probeAge(0.5, seconds(3)) == Duration::zero());
}

}  // namespace
}  // namespace lugfork
