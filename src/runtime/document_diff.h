#pragma once

#include <string>
#include <vector>

#include "config/configuration.h"

namespace lugfork {

/** How one resource differs between two versions of a document. */
struct ResourceChange {
  enum class Kind { Added, Changed, Removed };

  Kind kind = Kind::Changed;
  /** Collection and name, for example "backends/ingest-1". */
  std::string resource;
  /** For Changed: each field as "name: before -> after"; secrets are never shown. */
  std::vector<std::string> fields;
};

/** @return what changed from one configuration to another, without the version. */
std::vector<ResourceChange> diffConfigurations(const Configuration& before,
                                               const Configuration& after);

/** @return one line for each change: "+", "~" or "-", the resource and the fields. */
std::string describeChanges(const std::vector<ResourceChange>& changes);

}  // namespace lugfork
