#pragma once

#include <string>
#include <vector>

#include "config/configuration.h"

namespace lugfork {

/** Difference of one resource between two configurations. */
struct ResourceChange {
  enum class Kind { Added, Changed, Removed };

  Kind kind = Kind::Changed;
  /** Collection and name, for example "backends/ingest-1". */
  std::string resource;
  /** For Changed: each field as "name: before -> after"; secrets are omitted. */
  std::vector<std::string> fields;
};

/** @return the differences between two configurations, apart from the version. */
std::vector<ResourceChange> diffConfigurations(const Configuration& before,
                                               const Configuration& after);

/** @return one line per change: "+", "~" or "-", the resource and its changed fields. */
std::string describeChanges(const std::vector<ResourceChange>& changes);

}  // namespace lugfork
