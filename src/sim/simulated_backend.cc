#include "sim/simulated_backend.h"

#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

constexpr Duration kTickInterval = milliseconds(10);

}  // namespace

SimulatedBackend::SimulatedBackend(const Backend& declared, EventQueue& queue,
                                   SimulatedProcess& process, SimulatedNetwork& network,
                                   Observations& observations)
    : declared_(declared),
      queue_(queue),
      process_(process),
      network_(network),
      observations_(observations) {
  network_.attachDatagrams(declared_.address, process_,
                           [this](std::span<const std::uint8_t> bytes, Endpoint from) {
                             model_->onDatagram(bytes, from);
                             recordRuns();
                           });
}

void SimulatedBackend::start(Duration cold_start) {
  process_.start();
  BackendModelSettings settings;
  settings.id = declared_.id;
  settings.service = declared_.service;
  settings.slots = declared_.slots;
  settings.connections = declared_.connections;
  settings.cold_start = cold_start;
  settings.placement_lifetime = placement_lifetime_;
  DatagramSender& sender = *this;
  model_ = std::make_unique<BackendModel>(settings, process_.timeSource(), sender);
  model_->setDraining(draining_);
  runs_recorded_ = 0;
  scheduleTick();
}

void SimulatedBackend::kill() {
  process_.kill();
  model_.reset();
}

void SimulatedBackend::setDraining(bool draining) {
  draining_ = draining;
  if (model_ != nullptr) {
    model_->setDraining(draining);
  }
}

void SimulatedBackend::sendDatagram(Endpoint destination, const Datagram& datagram) {
  network_.sendDatagram(process_, declared_.address, destination, encodeDatagram(datagram));
}

void SimulatedBackend::scheduleTick() {
  process_.runAfter(kTickInterval, [this] {
    model_->onTick();
    recordRuns();
    scheduleTick();
  });
}

void SimulatedBackend::recordRuns() {
  const SystemTime now = process_.timeSource().systemTime();
  const std::vector<RunRecord>& runs = model_->runs();
  for (; runs_recorded_ < runs.size(); ++runs_recorded_) {
    const RunRecord& run = runs[runs_recorded_];
    observations_.runs.push_back({run.key, run.kind, declared_.id, declared_.service,
                                  declared_.zone, queue_.now() - (now - run.placed_at),
                                  queue_.now() - (now - run.admitted_at)});
  }
}

}  // namespace lugfork
