#pragma once

#include "common/ids.h"

namespace lugfork {

/** Tells which services have more work now than their servers answer at once. */
class ServicePressure {
 public:
  virtual ~ServicePressure() = default;

  /** @return true where the service's servers queue requests or turn them away. */
  virtual bool isUnderPressure(ServiceId service) const = 0;
};

}  // namespace lugfork
