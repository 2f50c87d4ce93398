#pragma once

#include <map>
#include <string>

#include "common/ids.h"

namespace lugfork::soak {

/** Zones of a soak's machines, and the zone that is partitioned from the others. */
class ZonePartition {
 public:
  /** Registers the address that the balancer sends from. */
  void addBalancer(std::uint32_t address, const std::string& zone) { zones_[address] = zone; }

  void isolate(const std::string& zone) { isolated_zone_ = zone; }
  void heal() { isolated_zone_.clear(); }

  std::string zoneOf(Endpoint balancer) const {
    const auto found = zones_.find(balancer.address);
    return found == zones_.end() ? "" : found->second;
  }

  /** @return whether packets of that balancer can't reach a machine of that zone now. */
  bool separates(Endpoint balancer, const std::string& zone) const {
    const std::string from = zoneOf(balancer);
    return !isolated_zone_.empty() && from != zone &&
           (from == isolated_zone_ || zone == isolated_zone_);
  }

 private:
  std::map<std::uint32_t, std::string> zones_;
  std::string isolated_zone_;
};

}  // namespace lugfork::soak
