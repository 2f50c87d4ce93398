#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <set>

#include "flow/router_harness.h"
#include "load/zone_demand.h"

/** Simulation of zones with clients, balancers and backends with queues, in steps of 1 ms. */
namespace lugfork {

inline constexpr std::uint32_t kReplayZones = 3;
inline constexpr std::uint32_t kBackendsPerZone = 10;
inline constexpr std::uint32_t kBalancersPerZone = 20;
inline constexpr std::uint32_t kSlotsPerBackend = 2;
inline constexpr double kServiceTimeMs = 25;
/** Rate of flows that keeps all slots of one zone busy [1/s]. */
inline constexpr double kZoneCapacityPerSecond =
    kBackendsPerZone * kSlotsPerBackend * 1000 / kServiceTimeMs;

/** A backend: serves a few requests at once, queues a few more and refuses the rest. */
class BackendFake {
 public:
  static constexpr std::size_t kQueueCapacity = 8;

  /** @return time until the answer; 1 ms for a refusal. */
  Duration serve(MonotonicTime now, Duration service_time) {
    while (!ends_.empty() && ends_.top() <= now) {
      ends_.pop();
    }
    if (ends_.size() >= kSlotsPerBackend + kQueueCapacity) {
      ++refused;
      return milliseconds(1);
    }
    auto& slot = *std::min_element(free_at_.begin(), free_at_.end());
    slot = std::max(slot, now) + std::chrono::duration_cast<Duration>(slowdown * service_time);
    ends_.push(slot);
    return slot - now;
  }

  double slowdown = 1;
  int refused = 0;

 private:
  std::array<MonotonicTime, kSlotsPerBackend> free_at_{};
  std::priority_queue<MonotonicTime, std::vector<MonotonicTime>, std::greater<>> ends_;
};

/** Backends that every balancer suspects. */
struct BackendHealthFake : BackendHealth {
  bool isSuspect(BackendId backend) const override { return suspects.count(backend.value()) > 0; }
  std::set<std::uint32_t> suspects;
};

/** Results of the flows of one zone's clients in one second. */
struct ZoneSample {
  int flows = 0;
  int local = 0;
  int refused = 0;
  int late = 0;
  double localFraction() const { return flows == 0 ? 1 : static_cast<double>(local) / flows; }
};

/** How the weight of the local zone is computed. */
struct ReplayVariant {
  LocalityMode mode = LocalityMode::Adaptive;
  double weight = 50;
  /** Ratio of the estimated service time to the true one; 0: the zone's demand is unknown. */
  double service_time_factor = 0;
};

/** Balancers and backends of each zone. */
struct ReplayTopology {
  std::uint32_t balancers_per_zone = kBalancersPerZone;
  std::array<std::uint32_t, kReplayZones> backend_counts = {kBackendsPerZone, kBackendsPerZone,
                                                            kBackendsPerZone};
  std::uint64_t seed = 11;
};

class LoadReplay {
 public:
  static constexpr Duration kTargetLatency = milliseconds(100);

  /** @param balancers_per_zone with many balancers, each sees few flows. */
  explicit LoadReplay(ReplayVariant variant, std::uint32_t balancers_per_zone = kBalancersPerZone)
      : LoadReplay(variant, ReplayTopology{balancers_per_zone}) {}

  LoadReplay(ReplayVariant variant, const ReplayTopology& topology)
      : random_(makeSeededRandom(topology.seed)) {
    configuration.zones.clear();
    configuration.backends.clear();
    configuration.services = {{ServiceId(1), "feed", kListen, {}}};
    for (std::uint32_t zone = 1; zone <= kReplayZones; ++zone) {
      configuration.zones.push_back({ZoneId(zone), zoneName(zone), ""});
      configuration.services[0].allowed_zones.push_back(ZoneId(zone));
      for (std::uint32_t index = 0; index < topology.backend_counts[zone - 1]; ++index) {
        configuration.backends.push_back(
            makeBackend(zone * 100 + index, ServiceId(1), ZoneId(zone)));
      }
      for (std::uint32_t balancer = 0; balancer < topology.balancers_per_zone; ++balancer) {
        balancers_[zone].push_back(std::make_unique<Balancer>(zone, variant, *this));
      }
    }
    apply();
  }

  /** Applies the changed configuration to all balancers. */
  void apply() {
    view_ = viewOf(configuration);
    for (auto& [zone, balancers] : balancers_) {
      for (auto& balancer : balancers) {
        balancer->engine.setConfiguration(view_);
      }
    }
  }

  /** Simulates that many seconds; seconds_.back() then holds the results of the last one. */
  void run(int count) {
    for (int second = 0; second < count; ++second) {
      seconds_.push_back({});
      placed_by_backend_.clear();
      for (int step = 0; step < 1000; ++step) {
        this->step();
      }
    }
  }

  /** @return the sum over the last count seconds. */
  ZoneSample sum(std::uint32_t zone, std::size_t count) const {
    ZoneSample total;
    for (std::size_t index = seconds_.size() - count; index < seconds_.size(); ++index) {
      const ZoneSample& second = seconds_[index].at(zone);
      total.flows += second.flows;
      total.local += second.local;
      total.refused += second.refused;
      total.late += second.late;
    }
    return total;
  }

  /** @return maximum and minimum local fraction of a second among the last count seconds. */
  std::pair<double, double> localFractionRange(std::uint32_t zone, std::size_t count) const {
    std::pair<double, double> found{0, 1};
    for (std::size_t index = seconds_.size() - count; index < seconds_.size(); ++index) {
      const double local_fraction = seconds_[index].at(zone).localFraction();
      found = {std::max(found.first, local_fraction), std::min(found.second, local_fraction)};
    }
    return found;
  }

  /** @return flows placed on a backend in the last second. */
  int placedOn(std::uint32_t id) const {
    const auto found = placed_by_backend_.find(id);
    return found == placed_by_backend_.end() ? 0 : found->second;
  }

  /** @return standard deviation of the local fraction by weight among the balancers of a zone. */
  double fractionDeviation(std::uint32_t zone) const {
    const auto& balancers = balancers_.at(zone);
    double sum = 0;
    double squares = 0;
    for (const auto& balancer : balancers) {
      const double local_fraction = balancer->locality.localFraction(ServiceId(1));
      sum += local_fraction;
      squares += local_fraction * local_fraction;
    }
    const double mean = sum / static_cast<double>(balancers.size());
    return std::sqrt(std::max(0.0, squares / static_cast<double>(balancers.size()) - mean * mean));
  }

  LocalityRouter& locality(std::uint32_t zone, std::size_t balancer) {
    return balancers_[zone][balancer]->locality;
  }

  static std::string zoneName(std::uint32_t zone) { return "zone-" + std::to_string(zone); }

  ManualTimeSource time;
  BackendHealthFake backend_health;
  Configuration configuration = twoServices();
  std::map<std::uint32_t, BackendFake> backend_fakes;
  /** Rate of flows of each zone's clients, as a fraction of kZoneCapacityPerSecond. */
  std::map<std::uint32_t, double> load;

 private:
  struct Balancer {
    Balancer(std::uint32_t zone, ReplayVariant variant, LoadReplay& replay)
        : random(makeSeededRandom(zone)),
          loads(LoadEstimateSettings(), replay.time),
          speed(ResponseTimeSettings(), replay.time),
          in_flight(replay.time),
          locality(settingsOf(variant), replay.time, log),
          engine(placementOf(zone), makePlacementPolicy("bounded_rendezvous"), loads, replay.time,
                 *random),
          demand(ZoneDemandSettings(), replay.time) {
      if (variant.service_time_factor > 0) {
        const Duration estimated(
            static_cast<std::int64_t>(1000 * kServiceTimeMs * variant.service_time_factor));
        engine.setZoneDemand([this, estimated, &replay](ServiceId service) {
          return demand.update(service, estimated, {replay.balancers_[1].size(), 1, 1});
        });
      }
      engine.setSpeed(&speed);
      engine.setRequestsInFlight(&in_flight);
      engine.setLocality(&locality);
      engine.setBackendHealth(&replay.backend_health);
    }

    static LocalitySettings settingsOf(ReplayVariant variant) {
      LocalitySettings settings;
      settings.mode = variant.mode;
      settings.max_weight = variant.weight;
      settings.max_bulk_weight = variant.weight;
      return settings;
    }

    static PlacementSettings placementOf(std::uint32_t zone) {
      PlacementSettings settings;
      settings.local_zone = zoneName(zone);
      return settings;
    }

    std::unique_ptr<RandomGenerator> random;
    NullEventLog log;
    BackendLoadTable loads;
    ResponseTimes speed;
    RequestsInFlight in_flight;
    LocalityRouter locality;
    PlacementEngine engine;
    ZoneDemand demand;
  };

  struct Answer {
    MonotonicTime at;
    Duration duration;
    Balancer* balancer;
    BackendId backend;
    FlowId flow;
    bool operator>(const Answer& other) const { return at > other.at; }
  };

  void step() {
    time.elapsed += milliseconds(1);
    const MonotonicTime now = time.monotonicTime();
    while (!answers_.empty() && answers_.top().at <= now) {
      onAnswer(answers_.top());
      answers_.pop();
    }
    for (auto& [zone, balancers] : balancers_) {
      const double expected = load[zone] * kZoneCapacityPerSecond / 1000;
      // Random arrivals, at most four per millisecond.
      for (int chance = 0; chance < 4; ++chance) {
        if (random_->unit() < expected / 4) {
          open(zone, *balancers[random_->below(balancers.size())]);
        }
      }
    }
    if (++steps_ % 500 == 0) {
      for (auto& [zone, balancers] : balancers_) {
        for (auto& balancer : balancers) {
          balancer->speed.compare(*view_);
        }
      }
    }
  }

  void open(std::uint32_t zone, Balancer& balancer) {
    const FlowId flow{zone, ++flows_};
    balancer.demand.onRequest(ServiceId(1));
    const auto placed = balancer.engine.place(*view_->service(ServiceId(1)), flow);
    ZoneSample& second = seconds_.back()[zone];
    ++second.flows;
    if (!placed) {
      ++second.refused;
      return;
    }
    const Backend& backend = *placed.value();
    second.local += backend.zone == ZoneId(zone) ? 1 : 0;
    ++placed_by_backend_[backend.id.value()];
    BackendFake& backend_fake = backend_fakes[backend.id.value()];
    const int refused_before = backend_fake.refused;
    const double spread = std::exp(0.5 * (random_->unit() + random_->unit() - 1));
    const Duration service_time(static_cast<std::int64_t>(1000 * kServiceTimeMs * spread));
    const Duration duration = backend_fake.serve(time.monotonicTime(), service_time);
    second.refused += backend_fake.refused - refused_before;
    second.late += duration > kTargetLatency ? 1 : 0;
    balancer.in_flight.begin(backend.id, flow, seconds(1));
    answers_.push({time.monotonicTime() + duration, duration, &balancer, backend.id, flow});
  }

  void onAnswer(const Answer& answer) {
    Balancer& balancer = *answer.balancer;
    balancer.in_flight.end(answer.backend, answer.flow);
    const Backend* backend = view_->backend(answer.backend);
    if (backend != nullptr) {
      balancer.speed.onResponse(answer.backend, answer.duration);
      balancer.engine.onResponse(*backend, answer.duration);
    }
  }

  std::unique_ptr<RandomGenerator> random_;
  ConfigurationViewPtr view_;
  std::map<std::uint32_t, std::vector<std::unique_ptr<Balancer>>> balancers_;
  std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers_;
  std::vector<std::map<std::uint32_t, ZoneSample>> seconds_;
  std::map<std::uint32_t, int> placed_by_backend_;
  std::uint64_t flows_ = 0;
  std::uint64_t steps_ = 0;
};

}  // namespace lugfork
