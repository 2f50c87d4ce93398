/**
 * Compares placement policies on a virtual clock: several balancers place requests on queueing
 * backends, with stale and wrong load reports, bursts of arrivals and one cold start. The same
 * seeds give the same figures.
 */
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>

#include "flow/placement_engine.h"

namespace lugfork {
namespace {

constexpr Duration kStep = milliseconds(2);
constexpr Duration kRunDuration = seconds(60);
constexpr Duration kWarmUp = seconds(5);
constexpr Duration kSampleInterval = milliseconds(100);
constexpr Duration kReportInterval = seconds(1);
constexpr Duration kReportLag = milliseconds(500);
constexpr Duration kBurstInterval = seconds(10);
constexpr Duration kBurstDuration = seconds(1);
constexpr double kBurstFactor = 2;
constexpr Duration kColdStartAt = seconds(20);
constexpr Duration kColdStartDuration = seconds(10);
constexpr double kColdStartFactor = 4;
constexpr Duration kMeanServiceTime = milliseconds(100);
constexpr double kUtilization = 0.7;
constexpr std::uint32_t kSlots = 2;
constexpr std::uint32_t kQueueLimit = 16;
constexpr Duration kRefusalRetryAfter = milliseconds(500);
constexpr ServiceId kService{1};
constexpr ZoneId kZone{1};

struct VirtualTime : TimeSource {
  Duration elapsed = seconds(1000);
  MonotonicTime monotonicTime() const override { return MonotonicTime(elapsed); }
  SystemTime systemTime() const override { return SystemTime(elapsed); }
};

struct Fleet {
  const char* name;
  std::uint32_t balancers;
  std::uint32_t backends;
  std::uint32_t misreporting_backends;
};

struct Variant {
  const char* policy;
  double peer_placement_weight;
  double full_load;
};

struct Outcome {
  std::vector<double> imbalance;
  std::vector<double> waits_ms;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t overflows = 0;
};

/** Backend with slots and a bounded queue. */
struct QueueingBackend {
  std::vector<MonotonicTime> busy_until;
  std::deque<MonotonicTime> arrivals;
  MonotonicTime started_at;

  std::size_t occupancy() const { return busy_until.size() + arrivals.size(); }
};

/** Report in transit from a backend to one balancer. */
struct PendingReport {
  MonotonicTime arrives_at;
  std::size_t balancer;
  BackendReport report;
  bool operator<(const PendingReport& other) const { return arrives_at > other.arrives_at; }
};

struct Balancer {
  Balancer(const Variant& variant, const TimeSource& time, std::uint64_t seed)
      : random(makeSeededRandom(seed)),
        loads(loadSettings(variant), time),
        engine(placementSettings(variant), makePlacementPolicy(variant.policy), loads, time,
               *random) {}

  static LoadEstimateSettings loadSettings(const Variant& variant) {
    LoadEstimateSettings settings;
    settings.peer_placement_weight = variant.peer_placement_weight;
    return settings;
  }

  static PlacementSettings placementSettings(const Variant& variant) {
    PlacementSettings settings;
    settings.full_load = variant.full_load;
    return settings;
  }

  std::unique_ptr<RandomGenerator> random;
  BackendLoadTable loads;
  PlacementEngine engine;
};

class Comparison {
 public:
  Comparison(const Fleet& fleet, const Variant& variant, std::uint64_t seed)
      : fleet_(fleet), random_(makeSeededRandom(seed)), backends_(fleet.backends) {
    Configuration configuration;
    configuration.version = ConfigVersion(1);
    configuration.services = {{kService, "service", Endpoint{1, 1}, {kZone}}};
    for (std::uint32_t id = 1; id <= fleet.backends; ++id) {
      Backend backend;
      backend.id = BackendId(id);
      backend.service = kService;
      backend.zone = kZone;
      backend.address = Endpoint{id, 1};
      backend.slots = kSlots;
      backend.connections = 2000;
      configuration.backends.push_back(backend);
    }
    view_ = std::make_shared<const ConfigurationView>(configuration);
    for (std::uint32_t index = 0; index < fleet.balancers; ++index) {
      balancers_.push_back(std::make_unique<Balancer>(variant, time_, seed * 1000 + index));
      balancers_.back()->loads.setLiveBalancers(fleet.balancers);
      balancers_.back()->engine.setConfiguration(view_);
    }
  }

  Outcome run() {
    const Duration start = time_.elapsed;
    const MonotonicTime cold_start = MonotonicTime(start + kColdStartAt);
    while (time_.elapsed < start + kRunDuration) {
      time_.elapsed += kStep;
      const Duration since_start = time_.elapsed - start;
      if (time_.monotonicTime() == cold_start) {
        backends_.back() = QueueingBackend();
        backends_.back().started_at = cold_start;
      }
      advanceBackends();
      sendReports(since_start);
      deliverReports();
      generateArrivals(since_start);
      if (since_start > kWarmUp && since_start % kSampleInterval == Duration::zero()) {
        sample();
      }
    }
    return std::move(outcome_);
  }

 private:
  void advanceBackends() {
    for (QueueingBackend& backend : backends_) {
      std::erase_if(backend.busy_until,
                    [this](MonotonicTime end) { return end <= time_.monotonicTime(); });
      while (backend.busy_until.size() < kSlots && !backend.arrivals.empty()) {
        const Duration wait = time_.monotonicTime() - backend.arrivals.front();
        outcome_.waits_ms.push_back(static_cast<double>(wait.count()) / 1000);
        backend.arrivals.pop_front();
        backend.busy_until.push_back(time_.monotonicTime() + serviceTime(backend));
      }
    }
  }

  Duration serviceTime(const QueueingBackend& backend) {
    const bool cold = backend.started_at != MonotonicTime() &&
                      time_.monotonicTime() - backend.started_at < kColdStartDuration;
    const double factor = cold ? kColdStartFactor : 1;
    const double mean = static_cast<double>(kMeanServiceTime.count()) * factor;
    return Duration(static_cast<std::int64_t>(-mean * std::log(1 - random_->unit())));
  }

  void sendReports(Duration since_start) {
    for (std::uint32_t index = 0; index < fleet_.backends; ++index) {
      const Duration phase = kReportInterval * index / fleet_.backends / kStep * kStep;
      if (since_start % kReportInterval != phase) {
        continue;
      }
      const BackendReport report = reportOf(index);
      for (std::size_t balancer = 0; balancer < balancers_.size(); ++balancer) {
        pending_.push({time_.monotonicTime() + kReportLag, balancer, report});
      }
    }
  }

  BackendReport reportOf(std::uint32_t index) const {
    const QueueingBackend& backend = backends_[index];
    const bool misreports = index < fleet_.misreporting_backends;
    BackendReport report;
    report.backend = BackendId(index + 1);
    report.reachable = true;
    report.busy_slots = misreports ? 0 : static_cast<std::uint32_t>(backend.busy_until.size());
    report.queued_requests = misreports ? 0 : static_cast<std::uint32_t>(backend.arrivals.size());
    report.open_connections = report.busy_slots + report.queued_requests;
    const Duration uptime = time_.monotonicTime() - backend.started_at;
    report.uptime_ms = static_cast<std::uint32_t>(uptime / milliseconds(1));
    report.measured_at_ms = toUnixMilliseconds(time_.systemTime());
    return report;
  }

  void deliverReports() {
    while (!pending_.empty() && pending_.top().arrives_at <= time_.monotonicTime()) {
      balancers_[pending_.top().balancer]->loads.onReport(pending_.top().report);
      pending_.pop();
    }
  }

  void generateArrivals(Duration since_start) {
    const double capacity =
        fleet_.backends * kSlots / std::chrono::duration<double>(kMeanServiceTime).count();
    const bool burst = since_start % kBurstInterval < kBurstDuration;
    const double rate = capacity * kUtilization * (burst ? kBurstFactor : 1);
    pending_arrivals_ += rate * std::chrono::duration<double>(kStep).count() * 2 * random_->unit();
    for (; pending_arrivals_ >= 1; pending_arrivals_ -= 1) {
      ++outcome_.requests;
      request();
    }
  }

  /** Places one request, and places it once more if the queue of the backend is full. */
  void request() {
    Balancer& balancer = *balancers_[random_->below(balancers_.size())];
    const FlowKey key{{random_->next(), random_->next()}, 0};
    const Service& service = *view_->service(kService);
    BackendId refused_by;
    for (int attempt = 0; attempt < 2; ++attempt) {
      const auto placed = balancer.engine.place(service, key.flow, FlowVolume::Small, refused_by);
      if (!placed) {
        break;
      }
      const Backend& chosen = *placed.value();
      QueueingBackend& backend = backends_[chosen.id.value() - 1];
      if (backend.arrivals.size() < kQueueLimit) {
        backend.arrivals.push_back(time_.monotonicTime());
        return;
      }
      ++outcome_.overflows;
      refused_by = chosen.id;
      balancer.engine.onBackendRefusal(chosen, key, Reason::Overloaded);
      balancer.loads.onRefusal(chosen.id, kRefusalRetryAfter);
    }
    ++outcome_.refused;
  }

  void sample() {
    std::size_t busiest = 0;
    std::size_t sum = 0;
    for (const QueueingBackend& backend : backends_) {
      busiest = std::max(busiest, backend.occupancy());
      sum += backend.occupancy();
    }
    if (sum > 0) {
      const double mean = static_cast<double>(sum) / static_cast<double>(backends_.size());
      outcome_.imbalance.push_back(static_cast<double>(busiest) / mean);
    }
  }

  const Fleet fleet_;
  VirtualTime time_;
  std::unique_ptr<RandomGenerator> random_;
  ConfigurationViewPtr view_;
  std::vector<QueueingBackend> backends_;
  std::vector<std::unique_ptr<Balancer>> balancers_;
  std::priority_queue<PendingReport> pending_;
  double pending_arrivals_ = 0;
  Outcome outcome_;
};

double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void append(std::vector<double>& to, const std::vector<double>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

void printRow(const Fleet& fleet, const Variant& variant) {
  Outcome all;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const Outcome one = Comparison(fleet, variant, seed).run();
    append(all.imbalance, one.imbalance);
    append(all.waits_ms, one.waits_ms);
    all.requests += one.requests;
    all.refused += one.refused;
    all.overflows += one.overflows;
  }
  const double thousandths = 1000.0 / static_cast<double>(all.requests);
  std::printf("| %s | %s | %.1f | %.0f | %.2f | %.2f | %.0f | %.0f | %.2f | %.2f |\n", fleet.name,
              variant.policy, variant.peer_placement_weight, variant.full_load,
              percentile(all.imbalance, 0.5), percentile(all.imbalance, 0.99),
              percentile(all.waits_ms, 0.5), percentile(all.waits_ms, 0.99),
              static_cast<double>(all.refused) * thousandths,
              static_cast<double>(all.overflows) * thousandths);
  std::fflush(stdout);
}

}  // namespace
}  // namespace lugfork

int main() {
  using lugfork::Fleet;
  using lugfork::Variant;
  const Fleet fleets[] = {{"3 x 15", 3, 15, 1}, {"30 x 150", 30, 150, 2}};
  constexpr double kNeverFull = 1e9;
  const Variant variants[] = {
      {"round_robin", 0, kNeverFull},  {"least_reported", 0, kNeverFull},
      {"power_of_two", 1, kNeverFull}, {"round_robin", 0, 8},
      {"least_reported", 0, 8},        {"bounded_rendezvous", 1, 8},
      {"power_of_two", 0, 8},          {"power_of_two", 1, 4},
      {"power_of_two", 1, 8},          {"round_robin_of_two", 1, 8},
  };
  std::printf(
      "| fleet | policy | peer weight | full load | imbalance p50 | p99 | wait ms p50 | p99 | "
      "refused /1000 | overflows /1000 |\n|---|---|---|---|---|---|---|---|---|---|\n");
  for (const Fleet& fleet : fleets) {
    for (const Variant& variant : variants) {
      lugfork::printRow(fleet, variant);
    }
  }
  return 0;
}
