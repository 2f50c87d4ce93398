#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <set>

#include "flow/router_harness.h"
#include "load/zone_demand.h"

/** Zones of callers, balancers and servers with queues, in steps of a millisecond. */
namespace lugfork {

inline constexpr std::uint32_t kReplayZones = 3;
inline constexpr std::uint32_t kServersOfZone = 10;
inline constexpr std::uint32_t kNodesOfZone = 20;
inline constexpr std::uint32_t kReplaySlots = 2;
inline constexpr double kWorkMs = 25;
/** Flows a second that fill the slots of one zone. */
inline constexpr double kZoneCapacity = kServersOfZone * kReplaySlots * 1000 / kWorkMs;

/** One server: works on a few requests at once, queues a few more and refuses the rest at once. */
class QueueFake {
 public:
  static constexpr std::size_t kQueue = 8;

  /** @return time until the answer; a refusal comes after 1 ms. */
  Duration serve(MonotonicTime now, Duration work) {
    while (!ends_.empty() && ends_.top() <= now) {
      ends_.pop();
    }
    if (ends_.size() >= kReplaySlots + kQueue) {
      ++refused;
      return milliseconds(1);
    }
    auto& slot = *std::min_element(free_at_.begin(), free_at_.end());
    slot = std::max(slot, now) + std::chrono::duration_cast<Duration>(slowness * work);
    ends_.push(slot);
    return slot - now;
  }

  double slowness = 1;
  int refused = 0;

 private:
  std::array<MonotonicTime, kReplaySlots> free_at_{};
  std::priority_queue<MonotonicTime, std::vector<MonotonicTime>, std::greater<>> ends_;
};

/** Servers that every node suspects. */
struct SuspicionFake : BackendHealth {
  bool isSuspect(BackendId backend) const override { return suspects.count(backend.value()) > 0; }
  std::set<std::uint32_t> suspects;
};

/** What became of the flows of one zone's callers in one second. */
struct ZoneSecond {
  int flows = 0;
  int own = 0;
  int refused = 0;
  int late = 0;
  double localFraction() const { return flows == 0 ? 1 : static_cast<double>(own) / flows; }
};

/** Which way the own zone is weighed. */
struct ReplayWay {
  LocalityMode mode = LocalityMode::Adaptive;
  double weight = 50;
  /** Service time that a balancer believes, over the true one; 0: the zone's demand isn't asked. */
  double service_time_factor = 0;
};

/** Balancers and servers of each zone. */
struct ReplayShape {
  std::uint32_t nodes_of_zone = kNodesOfZone;
  std::array<std::uint32_t, kReplayZones> servers = {kServersOfZone, kServersOfZone,
                                                     kServersOfZone};
  std::uint64_t seed = 11;
};

class LoadReplay {
 public:
  static constexpr Duration kAim = milliseconds(100);

  /** @param nodes_of_zone balancers in each zone: with many, each sees few flows. */
  explicit LoadReplay(ReplayWay way, std::uint32_t nodes_of_zone = kNodesOfZone)
      : LoadReplay(way, ReplayShape{nodes_of_zone}) {}

  LoadReplay(ReplayWay way, const ReplayShape& shape) : random_(makeSeededRandom(shape.seed)) {
    configuration.zones.clear();
    configuration.backends.clear();
    configuration.services = {{ServiceId(1), "feed", kListen, {}}};
    for (std::uint32_t zone = 1; zone <= kReplayZones; ++zone) {
      configuration.zones.push_back({ZoneId(zone), zoneName(zone), ""});
      configuration.services[0].allowed_zones.push_back(ZoneId(zone));
      for (std::uint32_t server = 0; server < shape.servers[zone - 1]; ++server) {
        configuration.backends.push_back(
            makeBackend(zone * 100 + server, ServiceId(1), ZoneId(zone)));
      }
      for (std::uint32_t node = 0; node < shape.nodes_of_zone; ++node) {
        nodes_[zone].push_back(std::make_unique<Node>(zone, way, *this));
      }
    }
    apply();
  }

  /** Puts the changed configuration into force. */
  void apply() {
    view_ = viewOf(configuration);
    for (auto& [zone, nodes] : nodes_) {
      for (auto& node : nodes) {
        node->engine.setConfiguration(view_);
      }
    }
  }

  /** Lets time pass; then seconds.back() holds what became of the last. */
  void run(int count) {
    for (int second = 0; second < count; ++second) {
      seconds_.push_back({});
      taken_.clear();
      for (int step = 0; step < 1000; ++step) {
        this->step();
      }
    }
  }

  /** @return the sum over the last seconds. */
  ZoneSecond sum(std::uint32_t zone, std::size_t count) const {
    ZoneSecond total;
    for (std::size_t index = seconds_.size() - count; index < seconds_.size(); ++index) {
      const ZoneSecond& second = seconds_[index].at(zone);
      total.flows += second.flows;
      total.own += second.own;
      total.refused += second.refused;
      total.late += second.late;
    }
    return total;
  }

  /** @return largest and smallest share of the own zone in the last seconds. */
  std::pair<double, double> range(std::uint32_t zone, std::size_t count) const {
    std::pair<double, double> found{0, 1};
    for (std::size_t index = seconds_.size() - count; index < seconds_.size(); ++index) {
      const double share = seconds_[index].at(zone).localFraction();
      found = {std::max(found.first, share), std::min(found.second, share)};
    }
    return found;
  }

  /** @return flows that a server got in the last second. */
  int taken(std::uint32_t server) const {
    const auto found = taken_.find(server);
    return found == taken_.end() ? 0 : found->second;
  }

  /** @return standard deviation of the own zone's share by weight among a zone's balancers. */
  double spread(std::uint32_t zone) const {
    const auto& nodes = nodes_.at(zone);
    double sum = 0;
    double squares = 0;
    for (const auto& node : nodes) {
      const double share = node->locality.localFraction(ServiceId(1));
      sum += share;
      squares += share * share;
    }
    const double mean = sum / static_cast<double>(nodes.size());
    return std::sqrt(std::max(0.0, squares / static_cast<double>(nodes.size()) - mean * mean));
  }

  LocalityRouter& locality(std::uint32_t zone, std::size_t node) {
    return nodes_[zone][node]->locality;
  }

  static std::string zoneName(std::uint32_t zone) { return "zone-" + std::to_string(zone); }

  ManualTimeSource time;
  SuspicionFake suspicion;
  Configuration configuration = twoServices();
  std::map<std::uint32_t, QueueFake> servers;
  /** Flows a second of each zone's callers, as a share of kZoneCapacity. */
  std::map<std::uint32_t, double> load;

 private:
  struct Node {
    Node(std::uint32_t zone, ReplayWay way, LoadReplay& replay)
        : random(makeSeededRandom(zone)),
          loads(LoadEstimateSettings(), replay.time),
          speed(ResponseTimeSettings(), replay.time),
          in_flight(replay.time),
          locality(settingsOf(way), replay.time, log),
          engine(placementOf(zone), makePlacementPolicy("bounded_rendezvous"), loads, replay.time,
                 *random),
          demand(ZoneDemandSettings(), replay.time) {
      if (way.service_time_factor > 0) {
        const Duration believed(
            static_cast<std::int64_t>(1000 * kWorkMs * way.service_time_factor));
        engine.setZoneDemand([this, believed, &replay](ServiceId service) {
          return demand.update(service, believed, {replay.nodes_[1].size(), 1, 1});
        });
      }
      engine.setSpeed(&speed);
      engine.setRequestsInFlight(&in_flight);
      engine.setLocality(&locality);
      engine.setBackendHealth(&replay.suspicion);
    }

    static LocalitySettings settingsOf(ReplayWay way) {
      LocalitySettings settings;
      settings.mode = way.mode;
      settings.max_weight = way.weight;
      settings.max_bulk_weight = way.weight;
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
    Duration took;
    Node* node;
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
    for (auto& [zone, nodes] : nodes_) {
      const double expected = load[zone] * kZoneCapacity / 1000;
      // Arrivals by chance: at most four in a millisecond.
      for (int chance = 0; chance < 4; ++chance) {
        if (random_->unit() < expected / 4) {
          open(zone, *nodes[random_->below(nodes.size())]);
        }
      }
    }
    if (++steps_ % 500 == 0) {
      for (auto& [zone, nodes] : nodes_) {
        for (auto& node : nodes) {
          node->speed.compare(*view_);
        }
      }
    }
  }

  void open(std::uint32_t zone, Node& node) {
    const FlowId flow{zone, ++flows_};
    node.demand.onRequest(ServiceId(1));
    const auto placed = node.engine.place(*view_->service(ServiceId(1)), flow);
    ZoneSecond& second = seconds_.back()[zone];
    ++second.flows;
    if (!placed) {
      ++second.refused;
      return;
    }
    const Backend& backend = *placed.value();
    second.own += backend.zone == ZoneId(zone) ? 1 : 0;
    ++taken_[backend.id.value()];
    QueueFake& server = servers[backend.id.value()];
    const int refused_before = server.refused;
    const double spread = std::exp(0.5 * (random_->unit() + random_->unit() - 1));
    const Duration work(static_cast<std::int64_t>(1000 * kWorkMs * spread));
    const Duration took = server.serve(time.monotonicTime(), work);
    second.refused += server.refused - refused_before;
    second.late += took > kAim ? 1 : 0;
    node.in_flight.begin(backend.id, flow, seconds(1));
    answers_.push({time.monotonicTime() + took, took, &node, backend.id, flow});
  }

  void onAnswer(const Answer& answer) {
    Node& node = *answer.node;
    node.in_flight.end(answer.backend, answer.flow);
    const Backend* backend = view_->backend(answer.backend);
    if (backend != nullptr) {
      node.speed.onResponse(answer.backend, answer.took);
      node.engine.onResponse(*backend, answer.took);
    }
  }

  std::unique_ptr<RandomGenerator> random_;
  ConfigurationViewPtr view_;
  std::map<std::uint32_t, std::vector<std::unique_ptr<Node>>> nodes_;
  std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers_;
  std::vector<std::map<std::uint32_t, ZoneSecond>> seconds_;
  std::map<std::uint32_t, int> taken_;
  std::uint64_t flows_ = 0;
  std::uint64_t steps_ = 0;
};

}  // namespace lugfork
