#pragma once

namespace lugfork::soak {

/** Faults of the links from clients to balancers. */
struct LinkFaults {
  bool drops = false;
  /** Packets are delayed, duplicated and reordered. */
  bool reorders = false;
};

}  // namespace lugfork::soak
