#include "sim/fault_injector.h"

namespace lugfork {

namespace {

/** Clients can't tell a backend that is paused for longer from a failed one. */
constexpr Duration kMaxTolerablePause = seconds(2);
/** Balancers that haven't detected a restart yet send placements that appear older than it. */
constexpr Duration kRestartUncertainty = seconds(1);
constexpr Duration kColdStartDuration = seconds(10);
constexpr Duration kRaceDuration = seconds(2);

}  // namespace

void FaultInjector::schedule(const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    fleet_.queue().scheduleAfter(fault.at, [this, fault] { begin(fault); });
  }
}

void FaultInjector::begin(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::Kill:
      return kill(fault);
    case FaultKind::Pause:
      return pause(fault);
    case FaultKind::HoldOutput:
      return holdOutput(fault);
    case FaultKind::Cut:
      return cut(fault);
    case FaultKind::Drain:
      return drain(fault, true);
    case FaultKind::DeclaredDrain:
      return drain(fault, false);
    case FaultKind::ColdStart:
      return coldStart(fault);
    case FaultKind::Shed:
      return shed(fault);
    case FaultKind::DistortLoad:
      return distortLoad(fault);
    case FaultKind::PlatformOutage:
      return platformOutage(fault);
    case FaultKind::StaleReplica:
      return staleReplica(fault);
    case FaultKind::Publish:
      return fleet_.publish([](Configuration&) {});
    case FaultKind::ConfigurationRace:
      return configurationRace(fault);
    case FaultKind::PlannedStop:
      return plannedStop(fault);
    case FaultKind::RollingRestart:
      return rollingRestart(fault);
    case FaultKind::Loss:
      return lossyLinks(fault);
    case FaultKind::WithdrawZone:
      return planned_maintenance_.withdrawZone(fault.target, fault.peer);
  }
}

void FaultInjector::kill(const Fault& fault) {
  if (SimulatedNode* balancer = fleet_.balancer(fault.target)) {
    if (!balancer->process().isRunning()) {
      return;
    }
    fleet_.killBalancer(*balancer);
    scheduleEnd(fault.duration, [this, balancer] {
      if (!balancer->process().isRunning()) {
        fleet_.startBalancer(*balancer);
      }
    });
    return;
  }
  SimulatedBackend* backend = fleet_.backend(fault.target);
  if (!backend->process().isRunning()) {
    return;
  }
  recordOutage(backend->declared().id, fault.duration);
  backend->kill();
  scheduleEnd(fault.duration, [backend] {
    if (!backend->process().isRunning()) {
      backend->start(Duration::zero());
    }
  });
}

void FaultInjector::pause(const Fault& fault) {
  SimulatedNode* balancer = fleet_.balancer(fault.target);
  SimulatedBackend* backend = fleet_.backend(fault.target);
  SimulatedProcess& process = backend != nullptr    ? backend->process()
                              : balancer != nullptr ? balancer->process()
                                                    : fleet_.clients();
  if (!process.isRunning() || process.isPaused()) {
    return;
  }
  const MonotonicTime now = fleet_.queue().now();
  if (balancer != nullptr) {
    fleet_.observations().node_pauses.emplace(fault.target, Interval{now, now + fault.duration});
  } else if (backend != nullptr && fault.duration > kMaxTolerablePause) {
    recordOutage(backend->declared().id, fault.duration);
  }
  process.pause();
  fleet_.queue().scheduleAfter(fault.duration, [&process, generation = process.generation()] {
    if (process.generation() == generation) {
      process.resume();
    }
  });
}

void FaultInjector::holdOutput(const Fault& fault) {
  SimulatedNode* balancer = fleet_.balancer(fault.target);
  if (!balancer->process().isRunning()) {
    return;
  }
  const MonotonicTime now = fleet_.queue().now();
  fleet_.observations().node_pauses.emplace(fault.target, Interval{now, now + fault.duration});
  balancer->holdOutput();
  fleet_.queue().scheduleAfter(fault.duration,
                               [balancer, generation = balancer->process().generation()] {
                                 if (balancer->process().generation() == generation) {
                                   balancer->releaseOutput();
                                 }
                               });
}

void FaultInjector::cut(const Fault& fault) {
  std::vector<std::string> peers = {fault.peer};
  if (fault.peer == "*") {
    peers = fleet_.zoneNames();
  }
  std::string local_zone = fault.target;
  if (SimulatedNode* balancer = fleet_.balancer(fault.target)) {
    local_zone = balancer->process().zone();
  } else if (SimulatedBackend* backend = fleet_.backend(fault.target)) {
    local_zone = backend->process().zone();
  }
  std::erase(peers, local_zone);
  recordIsolation(fault.duration);
  for (const std::string& peer : peers) {
    fleet_.network().cut(fault.target, peer);
    if (!fault.one_way) {
      fleet_.network().cut(peer, fault.target);
    }
  }
  scheduleEnd(fault.duration, [this, peers, target = fault.target] {
    for (const std::string& peer : peers) {
      fleet_.network().heal(target, peer);
      fleet_.network().heal(peer, target);
    }
  });
}

void FaultInjector::drain(const Fault& fault, bool notify_backend) {
  SimulatedBackend* backend = fleet_.backend(fault.target);
  planned_maintenance_.startDrain(*backend, notify_backend);
  scheduleEnd(fault.duration, [this, backend] { planned_maintenance_.endDrain(*backend); });
}

void FaultInjector::coldStart(const Fault& fault) {
  SimulatedBackend* backend = fleet_.backend(fault.target);
  if (!backend->process().isRunning()) {
    return;
  }
  recordOutage(backend->declared().id, fault.duration);
  backend->kill();
  scheduleEnd(fault.duration, [backend] {
    if (!backend->process().isRunning()) {
      backend->start(kColdStartDuration);
    }
  });
}

void FaultInjector::shed(const Fault& fault) {
  SimulatedBackend* backend = fleet_.backend(fault.target);
  if (backend->model() == nullptr) {
    return;
  }
  backend->model()->setShedding(true);
  scheduleEnd(fault.duration, [backend] {
    if (backend->model() != nullptr) {
      backend->model()->setShedding(false);
    }
  });
}

void FaultInjector::distortLoad(const Fault& fault) {
  SimulatedBackend* backend = fleet_.backend(fault.target);
  if (backend->model() == nullptr) {
    return;
  }
  backend->model()->setDistortion({fault.factor, fault.lag});
  scheduleEnd(fault.duration, [backend] {
    if (backend->model() != nullptr) {
      backend->model()->setDistortion({});
    }
  });
}

void FaultInjector::platformOutage(const Fault& fault) {
  recordIsolation(fault.duration);
  for (const std::size_t replica : replicasOf(fault)) {
    fleet_.platform().setOutage(replica, true);
    scheduleEnd(fault.duration, [this, replica] { fleet_.platform().setOutage(replica, false); });
  }
}

void FaultInjector::staleReplica(const Fault& fault) {
  recordIsolation(fault.duration);
  for (const std::size_t replica : replicasOf(fault)) {
    fleet_.platform().freeze(replica);
    scheduleEnd(fault.duration, [this, replica] { fleet_.platform().unfreeze(replica); });
  }
}

void FaultInjector::configurationRace(const Fault&) {
  fleet_.publishConflict();
  fleet_.queue().scheduleAfter(kRaceDuration, [this] { fleet_.publish([](Configuration&) {}); });
}

void FaultInjector::plannedStop(const Fault& fault) {
  if (SimulatedNode* balancer = fleet_.balancer(fault.target)) {
    planned_maintenance_.stopBalancer(*balancer, fault.duration, [] {});
  } else {
    planned_maintenance_.stopBackend(*fleet_.backend(fault.target), fault.duration, [] {});
  }
}

void FaultInjector::rollingRestart(const Fault& fault) {
  std::vector<std::string> names;
  if (fault.target == "balancers") {
    for (const auto& balancer : fleet_.balancers()) {
      names.push_back(balancer->settings().name);
    }
  }
  for (const auto& backend : fleet_.backends()) {
    const Service* service = fleet_.configuration().service(backend->declared().service);
    if (service->name == fault.target) {
      names.push_back(backend->declared().name);
    }
  }
  planned_maintenance_.restartSequentially(std::move(names), seconds(1));
}

void FaultInjector::lossyLinks(const Fault& fault) {
  LinkSettings& links = fleet_.network().settings();
  links.loss += fault.factor;
  links.duplication += fault.factor;
  scheduleEnd(fault.duration, [&links, factor = fault.factor] {
    links.loss -= factor;
    links.duplication -= factor;
  });
}

void FaultInjector::recordOutage(BackendId backend, Duration duration) {
  const MonotonicTime now = fleet_.queue().now();
  const bool permanent = duration == Duration::zero();
  const MonotonicTime until =
      permanent ? MonotonicTime::max() : now + duration + kRestartUncertainty;
  fleet_.observations().unplanned_outages.emplace(backend, Interval{now, until});
}

void FaultInjector::recordIsolation(Duration duration) {
  const MonotonicTime now = fleet_.queue().now();
  const MonotonicTime until = duration == Duration::zero() ? MonotonicTime::max() : now + duration;
  fleet_.observations().isolation.push_back({now, until});
}

void FaultInjector::scheduleEnd(Duration duration, std::function<void()> function) {
  if (duration > Duration::zero()) {
    fleet_.queue().scheduleAfter(duration, std::move(function));
  }
}

std::vector<std::size_t> FaultInjector::replicasOf(const Fault& fault) const {
  if (fault.target != "*") {
    return {std::stoul(fault.target)};
  }
  std::vector<std::size_t> replicas;
  for (std::size_t replica = 0; replica < fleet_.platform().size(); ++replica) {
    replicas.push_back(replica);
  }
  return replicas;
}

}  // namespace lugfork
