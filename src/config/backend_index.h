#pragma once

#include <unordered_map>
#include <vector>

#include "config/resources.h"

namespace lugfork {

/**
 * Finds back ends by id, address and service. Holds pointers: a back end that is added must stay
 * where it is until it is removed, and be removed before its fields change.
 */
class BackendIndex {
 public:
  /** Adds a back end; one with the same id must have been removed. */
  void add(const Backend& backend);
  void remove(const Backend& backend);

  /** @return the back end, or nullptr. */
  const Backend* find(BackendId id) const;

  /** @return a back end that is declared at the address, or nullptr; none is retired. */
  const Backend* at(Endpoint address) const;

  /** @return the back ends of a service; none is retired. In the order of adding, until one goes.
   */
  const std::vector<const Backend*>& of(ServiceId service) const;

 private:
  std::unordered_map<BackendId, const Backend*> by_id_;
  /** Where an address has gone to another server, both are here for a moment. */
  std::unordered_multimap<Endpoint, const Backend*> by_address_;
  std::unordered_map<ServiceId, std::vector<const Backend*>> by_service_;
  std::vector<const Backend*> no_backends_;
};

}  // namespace lugfork
