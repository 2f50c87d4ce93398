#pragma once

#include <set>

#include "client/caller_flow.h"
#include "sim/work_order.h"

namespace lugfork {

/** What the test client observed in one call. */
struct CallObservation {
  FlowId flow;
  WorkKind kind = WorkKind::PreCheck;
  /** Answer pieces whose content belongs to another flow, service or position. */
  std::uint32_t wrong_pieces = 0;
  std::uint32_t pieces = 0;
  /** Backends that served pieces of this call. */
  std::set<BackendId> backends;
};

/** Test client: makes one call with a work order and checks every answer piece. */
class CallerModel : private CallerOutputs {
 public:
  /** Sends a datagram to the service through the fabric. */
  using Send = std::function<void(const Datagram&)>;

  CallerModel(CallerSettings settings, Endpoint service, ServiceId service_id, WorkOrder order,
              Duration deadline, const TimeSource& time_source, RandomGenerator& random, Send send);

  void start() { flow_.start(); }
  void onDatagram(const Datagram& datagram) { flow_.onDatagram(datagram); }
  void onTick() { flow_.onTick(); }
  void cancel() { flow_.cancel(); }

  const CallerFlow& flow() const { return flow_; }
  const CallObservation& observation() const { return observation_; }

 private:
  void sendToService(const Datagram& datagram) override { send_(datagram); }
  void onAnswerPiece(const Answer& piece) override;

  const ServiceId service_id_;
  Send send_;
  CallObservation observation_;
  CallerFlow flow_;
};

/** @return the flow of a datagram sent to a client; nullopt for other datagrams. */
std::optional<FlowId> flowOfReply(const Datagram& datagram);

/** @return the stable name of a result, for output. */
const char* toString(CallResult result);

}  // namespace lugfork
