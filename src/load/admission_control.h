#pragma once

#include "config/configuration.h"

namespace lugfork {

/** Decides for each new flow whether its service can still serve it in time. */
class AdmissionControl {
 public:
  virtual ~AdmissionControl() = default;

  /**
   * Asked for the first copy of an opening only: a later copy may belong to a flow that a server
   * has already taken, and resetting its caller could cut that flow.
   * @return false where the caller is to be rejected at once, so that it can try elsewhere or come
   * back; nothing of its request has run then.
   */
  virtual bool admits(const Service& service, const RequestClass& request_class,
                      const FlowId& flow) = 0;
};

}  // namespace lugfork
