#pragma once

#include "config/configuration.h"

namespace lugfork {

/** Decides for each new flow whether its service can still serve it in time. */
class AdmissionControl {
 public:
  virtual ~AdmissionControl() = default;

  /**
   * Called for the first transmission of an opening only: a retransmission may belong to a flow
   * that a backend has already accepted, and resetting its client could cut that flow.
   * @return false if the client is to be rejected at once, so that it can retry here or elsewhere;
   * no part of its request has been executed then.
   */
  virtual bool admits(const Service& service, const RequestClass& request_class,
                      const FlowId& flow) = 0;
};

}  // namespace lugfork
