#include "config/configuration.h"

#include <algorithm>

namespace lugfork {

namespace {

template <typename Map, typename Key>
auto findOrNull(const Map& map, const Key& key) -> typename Map::mapped_type {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : found->second;
}

}  // namespace

bool Service::allowsZone(ZoneId zone) const {
  return std::find(allowed_zones.begin(), allowed_zones.end(), zone) != allowed_zones.end();
}

std::optional<ServiceId> Route::serviceFor(std::uint64_t flow_hash) const {
  std::uint64_t total = 0;
  for (const RouteTarget& target : targets) {
    total += target.weight;
  }
  if (total == 0) {
    return std::nullopt;
  }
  std::uint64_t remaining_weight = flow_hash % total;
  for (const RouteTarget& target : targets) {
    if (remaining_weight < target.weight) {
      return target.service;
    }
    remaining_weight -= target.weight;
  }
  return std::nullopt;
}

ConfigurationView::ConfigurationView(Configuration configuration)
    : document_(std::move(configuration)) {
  indexServices();
  for (const Service& service : document_.services) {
    if (service.address.isSet()) {
      routes_[service.address] = Route{service.address, {{service.id, 1}}};
    }
  }
  for (const Route& route : document_.routes) {
    routes_[route.address] = route;
  }
  for (const Backend& backend : document_.backends) {
    backends_.add(backend);
  }
  for (const TokenKey& key : document_.keys) {
    keys_[key.id] = &key;
    if (key.seals) {
      sealing_key_ = &key;
    }
  }
}

void ConfigurationView::setServices(std::vector<Zone> zones, std::vector<Service> services) {
  document_.zones = std::move(zones);
  document_.services = std::move(services);
  indexServices();
}

void ConfigurationView::setRoutes(std::vector<Route> routes) {
  routes_.clear();
  routes_.reserve(routes.size());
  for (Route& route : routes) {
    const Endpoint address = route.address;
    routes_.insert_or_assign(address, std::move(route));
  }
}

void ConfigurationView::indexServices() {
  zones_.clear();
  services_.clear();
  services_by_address_.clear();
  for (const Zone& zone : document_.zones) {
    zones_[zone.id] = &zone;
  }
  for (const Service& service : document_.services) {
    services_[service.id] = &service;
    if (service.address.isSet()) {
      services_by_address_[service.address] = &service;
    }
  }
}

const Service* ConfigurationView::serviceAt(Endpoint address) const {
  return findOrNull(services_by_address_, address);
}

const Route* ConfigurationView::routeAt(Endpoint address) const {
  const auto found = routes_.find(address);
  return found == routes_.end() ? nullptr : &found->second;
}

const Service* ConfigurationView::service(ServiceId id) const {
  return findOrNull(services_, id);
}

const Zone* ConfigurationView::zoneNamed(const std::string& name) const {
  const auto found = std::find_if(document_.zones.begin(), document_.zones.end(),
                                  [&](const Zone& zone) { return zone.name == name; });
  return found == document_.zones.end() ? nullptr : &*found;
}

const Zone* ConfigurationView::zone(ZoneId id) const {
  return findOrNull(zones_, id);
}

const TokenKey* ConfigurationView::key(KeyId id) const {
  return findOrNull(keys_, id);
}

}  // namespace lugfork
