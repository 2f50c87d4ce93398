#include "config/live_configuration.h"

#include <utility>

namespace lugfork {

const Backend* LiveConfiguration::put(Backend backend) {
  std::unique_ptr<Backend>& stored = owned_[backend.id];
  if (stored == nullptr) {
    stored = std::make_unique<Backend>(std::move(backend));
  } else {
    backendIndex().remove(*stored);
    *stored = std::move(backend);
  }
  backendIndex().add(*stored);
  return stored.get();
}

std::unique_ptr<const Backend> LiveConfiguration::extract(BackendId id) {
  auto found = owned_.extract(id);
  if (found.empty()) {
    return nullptr;
  }
  backendIndex().remove(*found.mapped());
  return std::move(found.mapped());
}

}  // namespace lugfork
