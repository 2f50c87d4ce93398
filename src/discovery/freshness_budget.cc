#include "discovery/freshness_budget.h"

#include <algorithm>

namespace lugfork {

Duration FreshnessBudget::maxProbeAge() const {
  return std::max(Duration::zero(), max_propagation_delay - store_answer_time);
}

Duration FreshnessBudget::maxSpread() const {
  return std::max(Duration::zero(), maxProbeAge() - max_fresh_age - poll_interval);
}

Duration FreshnessBudget::probeAge(double rank_fraction, Duration spread) const {
  const double later =
      (1.0 - rank_fraction) * static_cast<double>(std::min(spread, maxSpread()).count());
  return maxProbeAge() - Duration(static_cast<std::int64_t>(later));
}

}  // namespace lugfork
