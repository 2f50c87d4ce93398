#pragma once

namespace lugfork::soak {

/** What happens to clients' packets on their way to balancers. */
struct LinkFaults {
  bool loses = false;
  /** Packets come late, twice and out of order. */
  bool disorders = false;
};

}  // namespace lugfork::soak
