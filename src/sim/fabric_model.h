#pragma once

#include <deque>
#include <vector>

#include "common/ids.h"
#include "common/random_generator.h"
#include "common/time_source.h"

namespace lugfork {

/** Sends each datagram to a random balancer among those that were healthy health_lag ago. */
class FabricModel {
 public:
  FabricModel(RandomGenerator& random, Duration health_lag)
      : random_(random), health_lag_(health_lag) {}

  /** Records which balancers are healthy now; call it about every 100 ms. */
  void observe(MonotonicTime now, std::vector<Endpoint> healthy);

  /** @return a balancer, or an unset endpoint if none was healthy. */
  Endpoint choose();

 private:
  struct Snapshot {
    MonotonicTime at;
    std::vector<Endpoint> healthy;
  };

  RandomGenerator& random_;
  const Duration health_lag_;
  std::deque<Snapshot> snapshots_;
};

}  // namespace lugfork
