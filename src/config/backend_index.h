#pragma once

#include <unordered_map>
#include <vector>

#include "config/resources.h"

namespace lugfork {

/**
 * Finds backends by id, address and service. Holds pointers: an added backend must not move until
 * it is removed, and must be removed before its fields change.
 */
class BackendIndex {
 public:
  /** Adds a backend; an existing one with the same id must have been removed before. */
  void add(const Backend& backend);
  void remove(const Backend& backend);

  /** @return the backend, or nullptr. */
  const Backend* find(BackendId id) const;

  /** @return a backend declared at the address, or nullptr; never a retired one. */
  const Backend* at(Endpoint address) const;

  /**
   * @return the backends of a service, excluding retired ones; in insertion order until one is
   * removed.
   */
  const std::vector<const Backend*>& of(ServiceId service) const;

 private:
  std::unordered_map<BackendId, const Backend*> by_id_;
  /** Temporarily holds two backends when an address is reassigned from one to the other. */
  std::unordered_multimap<Endpoint, const Backend*> by_address_;
  std::unordered_map<ServiceId, std::vector<const Backend*>> by_service_;
  std::vector<const Backend*> no_backends_;
};

}  // namespace lugfork
