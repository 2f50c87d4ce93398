#pragma once

#include <map>
#include <memory>
#include <set>

#include "sim/caller_model.h"
#include "sim/fleet.h"

namespace lugfork {

/** Makes the scenario's calls through the fabric and records what the clients observe. */
class CallGenerator {
 public:
  CallGenerator(const Scenario& scenario, Fleet& fleet);

  /** Starts calls throughout the scenario's duration. */
  void start();

  /** @return true once all calls have started and ended. */
  bool isDone() const;

  /** Records the calls that have not ended; call it once, at the end of the simulation. */
  void recordUnfinished();

 private:
  struct ActiveCall {
    CallRecord record;
    std::unique_ptr<CallerModel> model;
  };

  void scheduleNextCall(const CallMix& mix);
  void scheduleBursts(const CallMix& mix);
  void beginCall(const CallMix& mix);
  void send(const Datagram& datagram);
  void onDatagram(std::span<const std::uint8_t> bytes);
  void tick();

  /** Passes an input to the call, then records breaks, refusals and the result. */
  void drive(ActiveCall& call, const std::function<void()>& input, const Refused* refused);
  void recordPlacement(const FlowKey& key, const TokenBytes& token);
  void finish(const ActiveCall& call);

  const Scenario& scenario_;
  Fleet& fleet_;
  SimulatedProcess& process_;
  MonotonicTime ends_at_;
  std::map<FlowId, ActiveCall> calls_;
  std::set<FlowKey> placements_seen_;
};

}  // namespace lugfork
