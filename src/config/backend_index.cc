#include "config/backend_index.h"

#include <algorithm>

namespace lugfork {

void BackendIndex::add(const Backend& backend) {
  by_id_[backend.id] = &backend;
  if (backend.retired) {
    return;
  }
  by_address_.emplace(backend.address, &backend);
  by_service_[backend.service].push_back(&backend);
}

void BackendIndex::remove(const Backend& backend) {
  by_id_.erase(backend.id);
  if (backend.retired) {
    return;
  }
  const auto [first, last] = by_address_.equal_range(backend.address);
  const auto entry =
      std::find_if(first, last, [&](const auto& known) { return known.second == &backend; });
  if (entry != last) {
    by_address_.erase(entry);
  }
  std::vector<const Backend*>& others = by_service_[backend.service];
  const auto position = std::find(others.begin(), others.end(), &backend);
  if (position != others.end()) {
    *position = others.back();
    others.pop_back();
  }
}

const Backend* BackendIndex::find(BackendId id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

const Backend* BackendIndex::at(Endpoint address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : found->second;
}

const std::vector<const Backend*>& BackendIndex::of(ServiceId service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? no_backends_ : found->second;
}

}  // namespace lugfork
