#include "sim/planned_work.h"

namespace lugfork {

namespace {

/** Time for which a stopping balancer goes on relaying. */
constexpr Duration kLeaveTime = seconds(2);
constexpr Duration kEmptyCheckInterval = milliseconds(100);
/** Time after a start in which a back end reports that it is not ready. */
constexpr Duration kReadyTime = 2 * BackendModelSettings().clock_skew;

}  // namespace

void PlannedWork::startDrain(SimulatedBackend& backend, bool told) {
  const BackendId id = backend.declared().id;
  ++drains_in_force_[id];
  fleet_.observations().drains.emplace(id, Interval{fleet_.queue().now(), MonotonicTime::max()});
  if (told) {
    backend.setDraining(true);
  }
  declareDraining(id, true);
}

void PlannedWork::endDrain(SimulatedBackend& backend) {
  const BackendId id = backend.declared().id;
  if (--drains_in_force_[id] > 0) {
    return;
  }
  const auto [first, last] = fleet_.observations().drains.equal_range(id);
  for (auto entry = first; entry != last; ++entry) {
    entry->second.until = std::min(entry->second.until, fleet_.queue().now());
  }
  backend.setDraining(false);
  declareDraining(id, false);
}

void PlannedWork::declareDraining(BackendId backend, bool draining) {
  fleet_.publish([&](Configuration& configuration) {
    for (Backend& declared : configuration.backends) {
      declared.draining = declared.id == backend ? draining : declared.draining;
    }
  });
}

void PlannedWork::stopBalancer(SimulatedNode& balancer, Duration down_time,
                               const std::function<void()>& done) {
  if (!balancer.process().isRunning() || balancer.process().isPaused()) {
    done();
    return;
  }
  const std::uint64_t generation = balancer.process().generation();
  const MonotonicTime now = fleet_.queue().now();
  fleet_.observations().planned_stops.push_back({now, now + kLeaveTime});
  fleet_.beginLeaving(balancer);
  fleet_.queue().scheduleAfter(kLeaveTime, [this, &balancer, generation, down_time, done] {
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

void PlannedWork::stopBackend(SimulatedBackend& backend, Duration down_time,
                              const std::function<void()>& done) {
  const std::size_t stop = fleet_.observations().planned_stops.size();
  fleet_.observations().planned_stops.push_back({fleet_.queue().now(), MonotonicTime::max()});
  startDrain(backend, true);
  stopWhenEmpty(backend, backend.process().generation(), stop, down_time, done);
}

void PlannedWork::stopWhenEmpty(SimulatedBackend& backend, std::uint64_t generation,
                                std::size_t stop, Duration down_time,
                                const std::function<void()>& done) {
  const bool same_life = backend.process().generation() == generation;
  const bool empty = backend.model() != nullptr && backend.model()->openFlows() == 0;
  // The drain has to be known everywhere before an empty back end stays empty.
  const MonotonicTime began_at = fleet_.observations().planned_stops[stop].from;
  const bool known = fleet_.queue().now() - began_at >= 2 * kLeaveTime;
  if (same_life && (!empty || !known)) {
    fleet_.queue().scheduleAfter(kEmptyCheckInterval, [=, this, &backend] {
      stopWhenEmpty(backend, generation, stop, down_time, done);
    });
    return;
  }
  fleet_.observations().planned_stops[stop].until = fleet_.queue().now();
  if (same_life) {
    backend.kill();
  }
  fleet_.queue().scheduleAfter(down_time, [=, this, &backend] {
    if (!backend.process().isRunning()) {
      backend.start(Duration::zero());
    }
    // Operators put a back end into service again once it reports that it is ready.
    fleet_.queue().scheduleAfter(kReadyTime, [this, &backend, done] {
      endDrain(backend);
      done();
    });
  });
}

void PlannedWork::restartOneAfterTheOther(std::vector<std::string> names, Duration down_time) {
  if (names.empty()) {
    return;
  }
  const std::string name = names.front();
  names.erase(names.begin());
  auto next = [this, names = std::move(names), down_time] {
    fleet_.queue().scheduleAfter(
        kLeaveTime, [this, names, down_time] { restartOneAfterTheOther(names, down_time); });
  };
  if (SimulatedNode* balancer = fleet_.balancer(name)) {
    stopBalancer(*balancer, down_time, std::move(next));
  } else {
    stopBackend(*fleet_.backend(name), down_time, std::move(next));
  }
}

void PlannedWork::withdrawZone(const std::string& service_name, const std::string& zone_name) {
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
