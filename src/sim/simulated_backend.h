#pragma once

#include <memory>

#include "sim/backend_model.h"
#include "sim/observations.h"
#include "sim/simulated_network.h"

namespace lugfork {

/** BackendModel in a simulated process. A kill discards all its state. */
class SimulatedBackend : private DatagramSender {
 public:
  SimulatedBackend(const Backend& declared, EventQueue& queue, SimulatedProcess& process,
                   SimulatedNetwork& network, Observations& observations);

  /** Starts the process with a new model. @param cold_start time during which work is slower. */
  void start(Duration cold_start);
  void kill();

  /** Sets whether the backend drains; also applies to later incarnations. */
  void setDraining(bool draining);

  /** Sets the time in which a placement may start work; takes effect at the next start. */
  void setPlacementLifetime(Duration lifetime) { placement_lifetime_ = lifetime; }

  /** @return the running model; nullptr while the process is killed. */
  BackendModel* model() { return model_.get(); }
  SimulatedProcess& process() { return process_; }
  const Backend& declared() const { return declared_; }

 private:
  void sendDatagram(Endpoint destination, const Datagram& datagram) override;
  void scheduleTick();
  void recordRuns();

  const Backend declared_;
  EventQueue& queue_;
  SimulatedProcess& process_;
  SimulatedNetwork& network_;
  Observations& observations_;
  std::unique_ptr<BackendModel> model_;
  std::size_t runs_recorded_ = 0;
  bool draining_ = false;
  Duration placement_lifetime_ = BackendModelSettings().placement_lifetime;
};

}  // namespace lugfork
