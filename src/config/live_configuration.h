#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "config/configuration.h"

namespace lugfork {

/** Changes between two states of a LiveConfiguration. */
struct ConfigurationChanges {
  /** Zones, services or their allowed zones have changed; derived data must be rebuilt. */
  bool services = false;
  bool routes = false;
  /** Backends that are new or have changed; pointers to changed ones stay valid. */
  std::vector<const Backend*> backends;
  /** Backends that restarted under the same id; earlier observations of them are invalid. */
  std::vector<BackendId> restarted;
  /** Removed backends; kept alive until all holders of pointers have released them. */
  std::vector<std::unique_ptr<const Backend>> removed;
};

/**
 * Configuration that is updated in place. The cost of a rebuild for each change would grow with the
 * number of backends: 1.5 ms of CPU time with 3,000 backends, compared with 2 us for updating the
 * changed one (control_work_bench). Pointers to a backend stay valid until it is removed.
 */
class LiveConfiguration : public ConfigurationView {
 public:
  LiveConfiguration() = default;

  using ConfigurationView::setRoutes;
  using ConfigurationView::setServices;
  using ConfigurationView::setVersion;

  /** Adds a backend or updates the one with the same id. @return its permanent location. */
  const Backend* put(Backend backend);

  /** Removes a backend. @return the backend, kept alive for remaining users; nullptr if unknown. */
  std::unique_ptr<const Backend> extract(BackendId id);

 private:
  std::unordered_map<BackendId, std::unique_ptr<Backend>> owned_;
};

}  // namespace lugfork
