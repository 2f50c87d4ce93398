#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "load/load_control.h"
#include "load/load_fixture.h"

/**
 * Simulates clients of two classes that retry, balancers with admission control, and backends with
 * queues.
 */
namespace lugfork {

inline Configuration replayConfiguration(std::uint32_t backend_count, std::uint32_t slots = 2) {
  Configuration configuration;
  configuration.zones = {{ZoneId(1), "a", ""}};
  configuration.services = {{ServiceId(1), "feed", Endpoint{1, 443}, {ZoneId(1)}}};
  for (std::uint32_t id = 1; id <= backend_count; ++id) {
    Backend backend;
    backend.id = BackendId(id);
    backend.service = ServiceId(1);
    backend.zone = ZoneId(1);
    backend.address = Endpoint{100 + id, 9000};
    backend.slots = slots;
    configuration.backends.push_back(backend);
  }
  return configuration;
}

/** Results of the requests of one class. */
struct ClassOutcome {
  int request_count = 0;
  int in_time_count = 0;
  double inTimeFraction() const {
    return request_count == 0 ? 1 : static_cast<double>(in_time_count) / request_count;
  }
};

struct ReplayOutcome {
  ClassOutcome urgent;
  ClassOutcome other;
  int sent_count = 0;
  int backend_rejection_count = 0;
  int rejection_count = 0;
  double min_level = 9;
  double max_level = 0;
  double requests_per_slot_sum = 0;
  int sample_count = 0;

  /** @return fraction of all requests that were served in time, with urgent ones weighted by 2. */
  double weightedInTimeFraction() const {
    return (2.0 * urgent.in_time_count + other.in_time_count) /
           std::max(2.0 * urgent.request_count + other.request_count, 1.0);
  }
  double backendRejectionFraction() const {
    return sent_count == 0 ? 0 : static_cast<double>(backend_rejection_count) / sent_count;
  }
  double requestsPerSlot() const { return requests_per_slot_sum / sample_count; }
};

struct ReplaySettings {
  std::string mode = "off";
  std::vector<Duration> work_times = {milliseconds(15), milliseconds(20)};
  Duration target = milliseconds(150);
  std::uint32_t balancers = 20;
  double urgent_fraction = 0.5;
};

class AdmissionReplay {
 public:
  static constexpr std::uint32_t kBackendCount = 20;

  explicit AdmissionReplay(const ReplaySettings& settings)
      : settings_(settings), backends_(kBackendCount) {
    for (std::uint32_t i = 0; i < settings.balancers; ++i) {
      balancers_.push_back(makeBalancer());
    }
  }

  /** @param load_ratio requested work relative to the slots, without retries. */
  ReplayOutcome run(Duration time, double load_ratio) {
    outcome_ = {};
    double mean_ms = 0;
    for (const Duration work : settings_.work_times) {
      mean_ms += static_cast<double>(work.count()) / 1000.0 /
                 static_cast<double>(settings_.work_times.size());
    }
    const double requests_per_step = load_ratio * kBackendCount * 2 / mean_ms;
    const MonotonicTime end = clock.monotonicTime() + time;
    while (clock.monotonicTime() < end) {
      clock.elapsed += milliseconds(1);
      for (due_requests_ += requests_per_step * 2 * random_->unit(); due_requests_ >= 1;
           due_requests_ -= 1) {
        startRequest();
      }
      handleEvents();
      if (clock.elapsed % milliseconds(100) == Duration(0)) {
        tick();
      }
    }
    return outcome_;
  }

  /** Replaces a balancer by a newly started one. */
  void restart(std::size_t index) { balancers_[index] = makeBalancer(); }
  LoadControl& balancer(std::size_t index) { return *balancers_[index]; }

  LoadClock clock;

 private:
  struct Request {
    bool urgent = false;
    Duration work{};
    MonotonicTime started_at;
    int retry_count = 0;
  };
  struct Event {
    MonotonicTime at;
    enum { Retry, Response, BackendRejection } kind = Retry;
    Request request;
    std::size_t balancer = 0;
    MonotonicTime sent_at;
    bool operator>(const Event& other) const { return at > other.at; }
  };

  std::unique_ptr<LoadControl> makeBalancer() {
    LoadControlSettings settings;
    settings.mode = settings_.mode;
    return std::make_unique<LoadControl>(settings, clock, log_);
  }

  void startRequest() {
    Request request;
    request.urgent = random_->unit() < settings_.urgent_fraction;
    request.work = settings_.work_times[random_->below(settings_.work_times.size())];
    request.started_at = clock.monotonicTime();
    ++(request.urgent ? outcome_.urgent : outcome_.other).request_count;
    attempt(request);
  }

  void attempt(const Request& request) {
    const MonotonicTime now = clock.monotonicTime();
    const std::size_t index = random_->below(balancers_.size());
    LoadControl& balancer = *balancers_[index];
    const RequestClass request_class{request.urgent ? 0U : 1U, settings_.target, {}};
    const FlowId flow{random_->next(), random_->next()};
    if (!balancer.admits(*view_->service(ServiceId(1)), request_class, flow)) {
      ++outcome_.rejection_count;
      retry(request);
      return;
    }
    ++outcome_.sent_count;
    balancer.onRequest(ServiceId(1));
    QueueingBackend& first = backends_[random_->below(kBackendCount)];
    QueueingBackend& second = backends_[random_->below(kBackendCount)];
    QueueingBackend& backend = first.requestCount(now) <= second.requestCount(now) ? first : second;
    if (backend.isFull(now)) {
      ++outcome_.backend_rejection_count;
      const Duration wait = milliseconds(20) + Duration(random_->below(25000));
      events_.push({now + wait, Event::BackendRejection, request, index, now});
    } else {
      events_.push({backend.serve(now, request.work), Event::Response, request, index, now});
    }
  }

  void retry(Request request) {
    if (++request.retry_count <= 2) {
      const Duration wait = milliseconds(20) + Duration(random_->below(30000));
      events_.push({clock.monotonicTime() + wait, Event::Retry, request, 0, {}});
    }
  }

  void handleEvents() {
    const MonotonicTime now = clock.monotonicTime();
    while (!events_.empty() && events_.top().at <= now) {
      const Event event = events_.top();
      events_.pop();
      if (event.kind == Event::Retry) {
        attempt(event.request);
        continue;
      }
      balancers_[event.balancer]->onResponse(ServiceId(1), event.at - event.sent_at);
      if (event.kind == Event::BackendRejection) {
        retry(event.request);
      } else if (event.at - event.request.started_at <= settings_.target) {
        ++(event.request.urgent ? outcome_.urgent : outcome_.other).in_time_count;
      }
    }
  }

  void tick() {
    double level = 0;
    for (auto& balancer : balancers_) {
      balancer->tick(*view_, balancers_.size());
      level += balancer->level(ServiceId(1)) / static_cast<double>(balancers_.size());
    }
    outcome_.min_level = std::min(outcome_.min_level, level);
    outcome_.max_level = std::max(outcome_.max_level, level);
    for (QueueingBackend& backend : backends_) {
      outcome_.requests_per_slot_sum +=
          static_cast<double>(backend.requestCount(clock.monotonicTime())) / 2;
      ++outcome_.sample_count;
    }
  }

  const ReplaySettings settings_;
  ConfigurationViewPtr view_ =
      std::make_shared<const ConfigurationView>(replayConfiguration(kBackendCount));
  std::unique_ptr<RandomGenerator> random_ = makeSeededRandom(11);
  NullEventLog log_;
  std::vector<QueueingBackend> backends_;
  std::vector<std::unique_ptr<LoadControl>> balancers_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  double due_requests_ = 0;
  ReplayOutcome outcome_;
};

}  // namespace lugfork
