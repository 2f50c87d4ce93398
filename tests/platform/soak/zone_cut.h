#pragma once

#include <map>
#include <string>

#include "common/ids.h"

namespace lugfork::soak {

/** Zones of a soak's machines, and which zone is cut off from the others. */
class ZoneCut {
 public:
  /** A balancer's packets come from that address. */
  void addBalancer(std::uint32_t address, const std::string& zone) { zones_[address] = zone; }

  void cutOff(const std::string& zone) { cut_off_ = zone; }
  void heal() { cut_off_.clear(); }

  std::string zoneOf(Endpoint balancer) const {
    const auto found = zones_.find(balancer.address);
    return found == zones_.end() ? "" : found->second;
  }

  /** @return whether a packet of that balancer can't come to a machine of that zone now. */
  bool separates(Endpoint balancer, const std::string& zone) const {
    const std::string from = zoneOf(balancer);
    return !cut_off_.empty() && from != zone && (from == cut_off_ || zone == cut_off_);
  }

 private:
  std::map<std::uint32_t, std::string> zones_;
  std::string cut_off_;
};

}  // namespace lugfork::soak
