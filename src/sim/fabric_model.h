#pragma once

#include <deque>
#include <vector>

#include "common/ids.h"
#include "common/random_generator.h"
#include "common/time_source.h"

namespace lugfork {

/** Sends each datagram to a random balancer out of those that looked healthy a while ago. */
class FabricModel {
 public:
  FabricModel(RandomGenerator& random, Duration health_lag)
      : random_(random), health_lag_(health_lag) {}

  /** Notes which balancers are healthy now; to be called every 100 ms or so. */
  void observe(MonotonicTime now, std::vector<Endpoint> healthy);

  /** @return a balancer, or an unset endpoint where none is believed healthy. */
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
