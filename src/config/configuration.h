#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/backend_index.h"
#include "config/resources.h"

namespace lugfork {

/**
 * Indexed configuration, shared between modules by pointer. Immutable if constructed from a
 * document; only the subclass LiveConfiguration is updated in place.
 */
class ConfigurationView {
 public:
  explicit ConfigurationView(Configuration configuration);
  ConfigurationView(const ConfigurationView&) = delete;
  ConfigurationView& operator=(const ConfigurationView&) = delete;

  /**
   * @return the document that the view was constructed from. In a LiveConfiguration it contains
   * only zones and services; backends and routes are held by the indexes alone.
   */
  const Configuration& document() const { return document_; }
  ConfigVersion version() const { return document_.version; }

  /** @return the resource, or nullptr if none has that id, name or address. */
  const Service* serviceAt(Endpoint address) const;
  const Route* routeAt(Endpoint address) const;
  const Service* service(ServiceId id) const;
  const Backend* backend(BackendId id) const { return backends_.find(id); }
  const Backend* backendAt(Endpoint address) const { return backends_.at(address); }
  const Zone* zoneNamed(const std::string& name) const;
  const Zone* zone(ZoneId id) const;
  const TokenKey* key(KeyId id) const;

  /** @return the key that seals new tokens, or nullptr if the configuration has no keys. */
  const TokenKey* sealingKey() const { return sealing_key_; }

  /**
   * @return the backends declared for a service, excluding retired ones; in the document's order if
   * the view was constructed from one.
   */
  const std::vector<const Backend*>& backendsOf(ServiceId service) const {
    return backends_.of(service);
  }

 protected:
  ConfigurationView() = default;

  void setVersion(ConfigVersion version) { document_.version = version; }
  void setServices(std::vector<Zone> zones, std::vector<Service> services);
  void setRoutes(std::vector<Route> routes);
  BackendIndex& backendIndex() { return backends_; }

 private:
  void indexServices();

  Configuration document_;
  std::unordered_map<Endpoint, const Service*> services_by_address_;
  std::unordered_map<Endpoint, Route> routes_;
  std::unordered_map<ServiceId, const Service*> services_;
  std::unordered_map<ZoneId, const Zone*> zones_;
  std::unordered_map<KeyId, const TokenKey*> keys_;
  const TokenKey* sealing_key_ = nullptr;
  BackendIndex backends_;
};

using ConfigurationViewPtr = std::shared_ptr<const ConfigurationView>;

}  // namespace lugfork
