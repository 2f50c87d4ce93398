#pragma once

#include "common/ids.h"

namespace lugfork {

/**
 * Indicates which services currently have more work than their backends can answer without delay.
 */
class ServicePressure {
 public:
  virtual ~ServicePressure() = default;

  /** @return true if the service's backends queue or reject requests. */
  virtual bool isUnderPressure(ServiceId service) const = 0;
};

}  // namespace lugfork
