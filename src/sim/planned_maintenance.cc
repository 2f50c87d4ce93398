#include "sim/planned_maintenance.h"

namespace lugfork {

namespace {

/** Time for which a stopping balancer continues to forward. */
constexpr Duration kLeaveDuration = seconds(2);
constexpr Duration kEmptyCheckInterval = milliseconds(100);
/** Time after a start during which a backend reports that it is not ready. */
constexpr Duration kReadinessDelay = 2 * BackendModelSettings().clock_skew;

}  // namespace

void PlannedMaintenance::startDrain(SimulatedBackend& backend, bool notify_backend) {
  const BackendId id = backend.declared().id;
  ++active_drains_[id];
  fleet_.observations().drains.emplace(id, Interval{fleet_.queue().now(), MonotonicTime::max()});
  if (notify_backend) {
    backend.setDraining(true);
  }
  declareDraining(id, true);
}

void PlannedMaintenance::endDrain(SimulatedBackend& backend) {
  const BackendId id = backend.declared().id;
  if (--active_drains_[id] > 0) {
    return;
  }
  const auto [first, last] = fleet_.observations().drains.equal_range(id);
  for (auto entry = first; entry != last; ++entry) {
    entry->second.until = std::min(entry->second.until, fleet_.queue().now());
  }
  backend.setDraining(false);
  declareDraining(id, false);
}

void PlannedMaintenance::declareDraining(BackendId backend, bool draining) {
  fleet_.publish([&](Configuration& configuration) {
    for (Backend& declared : configuration.backends) {
      declared.draining = declared.id == backend ? draining : declared.draining;
    }
  });
}

void PlannedMaintenance::stopBalancer(SimulatedNode& balancer, Duration down_time,
                                      const std::function<void()>& done) {
  if (!balancer.process().isRunning() || balancer.process().isPaused()) {
    done();
    return;
  }
  const std::uint64_t generation = balancer.process().generation();
  const MonotonicTime now = fleet_.queue().now();
  fleet_.observations().planned_stops.push_back({now, now + kLeaveDuration});
  fleet_.beginLeaving(balancer);
  fleet_.queue().scheduleAfter(kLeaveDuration, [this, &balancer, generation, down_time, done] {
    if (balancer.process().generation() != generation) {
      done();
      return;
    }
    fleet_.killBalancer(balancer);
    fleet_.queue().scheduleAfter(down_time, [this, &balancer, done] {
      if (!balancer.process().isRunning()) {
        fleet_.startBalancer(balancer);
      }
      done();
    });
  });
}

void PlannedMaintenance::stopBackend(SimulatedBackend& backend, Duration down_time,
                                     const std::function<void()>& done) {
  const std::size_t stop = fleet_.observations().planned_stops.size();
  fleet_.observations().planned_stops.push_back({fleet_.queue().now(), MonotonicTime::max()});
  startDrain(backend, true);
  stopWhenEmpty(backend, backend.process().generation(), stop, down_time, done);
}

void PlannedMaintenance::stopWhenEmpty(SimulatedBackend& backend, std::uint64_t generation,
                                       std::size_t stop, Duration down_time,
                                       const std::function<void()>& done) {
  const bool same_incarnation = backend.process().generation() == generation;
  const bool empty = backend.model() != nullptr && backend.model()->openFlows() == 0;
  // Until all balancers have the drain, an empty backend may still get new flows.
  const MonotonicTime started_at = fleet_.observations().planned_stops[stop].from;
  const bool propagated = fleet_.queue().now() - started_at >= 2 * kLeaveDuration;
  if (same_incarnation && (!empty || !propagated)) {
    fleet_.queue().scheduleAfter(kEmptyCheckInterval, [=, this, &backend] {
      stopWhenEmpty(backend, generation, stop, down_time, done);
    });
    return;
  }
  fleet_.observations().planned_stops[stop].until = fleet_.queue().now();
  if (same_incarnation) {
    backend.kill();
  }
  fleet_.queue().scheduleAfter(down_time, [=, this, &backend] {
    if (!backend.process().isRunning()) {
      backend.start(Duration::zero());
    }
    // As operators do, ends the drain only once the backend reports that it is ready.
    fleet_.queue().scheduleAfter(kReadinessDelay, [this, &backend, done] {
      endDrain(backend);
      done();
    });
  });
}

void PlannedMaintenance::restartSequentially(std::vector<std::string> names, Duration down_time) {
  if (names.empty()) {
    return;
  }
  const std::string name = names.front();
  names.erase(names.begin());
  auto next = [this, names = std::move(names), down_time] {
    fleet_.queue().scheduleAfter(
        kLeaveDuration, [this, names, down_time] { restartSequentially(names, down_time); });
  };
  if (SimulatedNode* balancer = fleet_.balancer(name)) {
    stopBalancer(*balancer, down_time, std::move(next));
  } else {
    stopBackend(*fleet_.backend(name), down_time, std::move(next));
  }
}

void PlannedMaintenance::withdrawZone(const std::string& service_name,
                                      const std::string& zone_name) {
  fleet_.publish([&](Configuration& configuration) {
    const ZoneId zone = fleet_.configuration().zoneNamed(zone_name)->id;
    for (Service& service : configuration.services) {
      if (service.name == service_name) {
        std::erase(service.allowed_zones, zone);
        fleet_.observations().withdrawals.push_back({service.id, zone, fleet_.queue().now()});
      }
    }
  });
}

}  // namespace lugfork
