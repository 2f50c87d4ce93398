#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "config/configuration.h"

namespace lugfork {

/** How a LiveConfiguration differs from what it was before. */
struct ConfigurationChanges {
  /** Zones, services or the zones that services may use differ: data made of them must be made
   * anew. */
  bool services = false;
  bool routes = false;
  /** Back ends that are new or differ; pointers to those that differ stay valid. */
  std::vector<const Backend*> backends;
  /** Back ends that have started again under their id: nothing that was seen of them holds. */
  std::vector<BackendId> restarted;
  /** Back ends that are gone; kept until all who hold pointers have let go of them. */
  std::vector<std::unique_ptr<const Backend>> removed;
};

/**
 * Configuration that is kept up to date in place, since a new one for each change costs as much as
 * all servers do: 1.5 ms of processor time with 3,000, against 2 us for the one that has changed
 * (control_work_bench). Back ends stay where they are as long as they exist.
 */
class LiveConfiguration : public ConfigurationView {
 public:
  LiveConfiguration() = default;

  using ConfigurationView::setRoutes;
  using ConfigurationView::setServices;
  using ConfigurationView::setVersion;

  /** Adds a back end, or takes the new fields of the one with that id. @return where it stands. */
  const Backend* put(Backend backend);

  /** Takes a back end out. @return it, so that others can let go of it; nullptr where none is. */
  std::unique_ptr<const Backend> extract(BackendId id);

 private:
  std::unordered_map<BackendId, std::unique_ptr<Backend>> owned_;
};

}  // namespace lugfork
