#include "config/live_configuration.h"

#include <utility>

namespace lugfork {

const Backend* LiveConfiguration::put(Backend backend) {
  std::unique_ptr<Backend>& place = owned_[backend.id];
  if (place == nullptr) {
    place = std::make_unique<Backend>(std::move(backend));
  } else {
    backendIndex().remove(*place);
    *place = std::move(backend);
  }
  backendIndex().add(*place);
  return place.get();
}

std::unique_ptr<const Backend> LiveConfiguration::take(BackendId id) {
  auto found = owned_.extract(id);
  if (found.empty()) {
    return nullptr;
  }
  backendIndex().remove(*found.mapped());
  return std::move(found.mapped());
}

}  // namespace lugfork
