#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "load/load_control.h"
#include "load/load_fixture.h"

/** Callers of two classes who come back, balancers that admit, and servers with queues. */
namespace lugfork {

inline Configuration replayConfiguration(std::uint32_t servers, std::uint32_t slots = 2) {
  Configuration configuration;
  configuration.zones = {{ZoneId(1), "a", ""}};
  configuration.services = {{ServiceId(1), "feed", Endpoint{1, 443}, {ZoneId(1)}}};
  for (std::uint32_t id = 1; id <= servers; ++id) {
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

/** What became of the requests of one class. */
struct ClassOutcome {
  int asked = 0;
  int in_time = 0;
  double share() const { return asked == 0 ? 1 : static_cast<double>(in_time) / asked; }
};

struct ReplayOutcome {
  ClassOutcome urgent;
  ClassOutcome other;
  int sent = 0;
  int turned_away = 0;
  int rejected = 0;
  double lowest_level = 9;
  double highest_level = 0;
  double present = 0;
  int samples = 0;

  /** @return share of the worth of all requests that was served in time; urgent ones are worth 2.
   */
  double credit() const {
    return (2.0 * urgent.in_time + other.in_time) / std::max(2.0 * urgent.asked + other.asked, 1.0);
  }
  double turnedAway() const { return sent == 0 ? 0 : static_cast<double>(turned_away) / sent; }
  double requestsPerSlot() const { return present / samples; }
};

struct ReplaySettings {
  std::string mode = "off";
  std::vector<Duration> works = {milliseconds(15), milliseconds(20)};
  Duration target = milliseconds(150);
  std::uint32_t balancers = 20;
  double urgent_share = 0.5;
};

class AdmissionReplay {
 public:
  static constexpr std::uint32_t kServers = 20;

  explicit AdmissionReplay(const ReplaySettings& settings)
      : settings_(settings), servers_(kServers) {
    for (std::uint32_t i = 0; i < settings.balancers; ++i) {
      balancers_.push_back(fresh());
    }
  }

  /** @param share of the slots that the requests fill, retries not counted. */
  ReplayOutcome run(Duration time, double share) {
    outcome_ = {};
    double mean_ms = 0;
    for (const Duration work : settings_.works) {
      mean_ms +=
          static_cast<double>(work.count()) / 1000.0 / static_cast<double>(settings_.works.size());
    }
    const double per_step = share * kServers * 2 / mean_ms;
    const MonotonicTime until = clock.monotonicTime() + time;
    while (clock.monotonicTime() < until) {
      clock.elapsed += milliseconds(1);
      for (due_ += per_step * 2 * random_->unit(); due_ >= 1; due_ -= 1) {
        ask();
      }
      handleEvents();
      if (clock.elapsed % milliseconds(100) == Duration(0)) {
        tick();
      }
    }
    return outcome_;
  }

  /** Replaces a balancer by one that has just started. */
  void restart(std::size_t index) { balancers_[index] = fresh(); }
  LoadControl& balancer(std::size_t index) { return *balancers_[index]; }

  LoadClock clock;

 private:
  struct Request {
    bool urgent = false;
    Duration work{};
    MonotonicTime asked_at;
    int tries = 0;
  };
  struct Event {
    MonotonicTime at;
    enum { Retry, Answer, TurnedAway } kind = Retry;
    Request request;
    std::size_t balancer = 0;
    MonotonicTime sent_at;
    bool operator>(const Event& other) const { return at > other.at; }
  };

  std::unique_ptr<LoadControl> fresh() {
    LoadControlSettings settings;
    settings.mode = settings_.mode;
    return std::make_unique<LoadControl>(settings, clock, log_);
  }

  void ask() {
    Request request;
    request.urgent = random_->unit() < settings_.urgent_share;
    request.work = settings_.works[random_->below(settings_.works.size())];
    request.asked_at = clock.monotonicTime();
    ++(request.urgent ? outcome_.urgent : outcome_.other).asked;
    attempt(request);
  }

  void attempt(const Request& request) {
    const MonotonicTime now = clock.monotonicTime();
    const std::size_t index = random_->below(balancers_.size());
    LoadControl& balancer = *balancers_[index];
    const RequestClass request_class{request.urgent ? 0U : 1U, settings_.target, {}};
    const FlowId flow{random_->next(), random_->next()};
    if (!balancer.admits(*view_->service(ServiceId(1)), request_class, flow)) {
      ++outcome_.rejected;
      retry(request);
      return;
    }
    ++outcome_.sent;
    balancer.onRequest(ServiceId(1));
    SlotServer& first = servers_[random_->below(kServers)];
    SlotServer& second = servers_[random_->below(kServers)];
    SlotServer& server = first.present(now) <= second.present(now) ? first : second;
    if (server.isFull(now)) {
      ++outcome_.turned_away;
      const Duration wait = milliseconds(20) + Duration(random_->below(25000));
      events_.push({now + wait, Event::TurnedAway, request, index, now});
    } else {
      events_.push({server.serve(now, request.work), Event::Answer, request, index, now});
    }
  }

  void retry(Request request) {
    if (++request.tries <= 2) {
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
      if (event.kind == Event::TurnedAway) {
        retry(event.request);
      } else if (event.at - event.request.asked_at <= settings_.target) {
        ++(event.request.urgent ? outcome_.urgent : outcome_.other).in_time;
      }
    }
  }

  void tick() {
    double level = 0;
    for (auto& balancer : balancers_) {
      balancer->tick(*view_, balancers_.size());
      level += balancer->level(ServiceId(1)) / static_cast<double>(balancers_.size());
    }
    outcome_.lowest_level = std::min(outcome_.lowest_level, level);
    outcome_.highest_level = std::max(outcome_.highest_level, level);
    for (SlotServer& server : servers_) {
      outcome_.present += static_cast<double>(server.present(clock.monotonicTime())) / 2;
      ++outcome_.samples;
    }
  }

  const ReplaySettings settings_;
  ConfigurationViewPtr view_ =
      std::make_shared<const ConfigurationView>(replayConfiguration(kServers));
  std::unique_ptr<RandomGenerator> random_ = makeSeededRandom(11);
  NullEventLog log_;
  std::vector<SlotServer> servers_;
  std::vector<std::unique_ptr<LoadControl>> balancers_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  double due_ = 0;
  ReplayOutcome outcome_;
};

}  // namespace lugfork
