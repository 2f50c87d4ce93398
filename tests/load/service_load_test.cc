#include "load/service_load.h"

#include <catch2/catch.hpp>

#include "load/load_fixture.h"

namespace lugfork {

namespace {

const ServiceId kService{1};

double inMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/** Backends behind one balancer, with requests at random times. */
class EstimatorHarness {
 public:
  static constexpr std::size_t kBackendCount = 10;

  /**
   * @param load_ratio requested work relative to the slots;
   * @param work mean work of a request, which varies from half to one and a half times that.
   */
  void run(Duration time, double load_ratio, Duration work) {
    const MonotonicTime end = clock.monotonicTime() + time;
    const double requests_per_ms = load_ratio * kBackendCount * 2 / inMilliseconds(work);
    while (clock.monotonicTime() < end) {
      clock.elapsed += milliseconds(1);
      deliverResponses();
      for (double expected_requests = requests_per_ms; expected_requests > 0;
           expected_requests -= 1) {
        if (random->unit() < expected_requests) {
          startRequest(work / 2 + std::chrono::duration_cast<Duration>(work * random->unit()));
        }
      }
    }
  }

  ServiceLoad load() const { return estimator.load(kService); }

  LoadClock clock;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(3);
  ServiceLoadEstimator estimator{ServiceLoadSettings(), clock};

 private:
  struct Response {
    MonotonicTime at;
    Duration duration{};
    bool operator>(const Response& other) const { return at > other.at; }
  };

  void startRequest(Duration work) {
    const MonotonicTime now = clock.monotonicTime();
    estimator.onRequest(kService);
    QueueingBackend& backend = backends_[random->below(kBackendCount)];
    const MonotonicTime at =
        backend.isFull(now)
            ? now + milliseconds(20) + Duration(static_cast<int>(random->below(25000)))
            : backend.serve(now, work);
    responses_.push({at, at - now});
  }

  void deliverResponses() {
    while (!responses_.empty() && responses_.top().at <= clock.monotonicTime()) {
      estimator.onResponse(kService, responses_.top().duration);
      responses_.pop();
    }
  }

  std::array<QueueingBackend, kBackendCount> backends_;
  std::priority_queue<Response, std::vector<Response>, std::greater<>> responses_;
};

}  // namespace

TEST_CASE("request rate, service time and requests in flight are estimated at a low load") {
  const Duration work = GENERATE(milliseconds(17), milliseconds(700));
  EstimatorHarness harness;
  harness.run(seconds(20), 0.4, work);
  const ServiceLoad load = harness.load();
  CHECK(load.requests_per_second == Approx(8000 / inMilliseconds(work)).epsilon(0.35));
  CHECK(inMilliseconds(load.service_time) == Approx(inMilliseconds(work)).epsilon(0.3));
  CHECK(load.requestsPerBusySlot() < 1.5);
  if (work < milliseconds(100)) {
    CHECK(load.in_flight == Approx(8.5).epsilon(0.35));
  }
}

TEST_CASE("the queue of an overload is detected within a second, and its end within two") {
  EstimatorHarness harness;
  harness.run(seconds(5), 0.5, milliseconds(60));
  harness.run(seconds(1), 2, milliseconds(60));
  CHECK(harness.load().requestsPerBusySlot() > 2.5);
  harness.run(seconds(2), 0.5, milliseconds(60));
  CHECK(harness.load().requestsPerBusySlot() < 1.6);
}

TEST_CASE("the service time estimate is stable through an overload of up to its window") {
  const Duration work = GENERATE(milliseconds(17), milliseconds(60), milliseconds(700));
  const double overload = GENERATE(1.3, 2.0, 6.0);
  EstimatorHarness harness;
  harness.run(seconds(15), 0.5, work);
  harness.run(seconds(28), overload, work);
  CAPTURE(inMilliseconds(work), overload);
  CHECK(inMilliseconds(harness.load().service_time) == Approx(inMilliseconds(work)).epsilon(0.4));
}

TEST_CASE("a queue that stands for minutes near the limit does not raise the service time") {
  EstimatorHarness harness;
  harness.run(seconds(5), 0.5, milliseconds(60));
  harness.run(seconds(120), 0.95, milliseconds(60));
  CHECK(inMilliseconds(harness.load().service_time) < 100);
}

TEST_CASE("the service time follows a change of work once its window has passed") {
  const Duration before = GENERATE(milliseconds(20), milliseconds(700));
  const Duration after = before == milliseconds(20) ? milliseconds(80) : milliseconds(30);
  EstimatorHarness harness;
  harness.run(seconds(10), 0.4, before);
  harness.run(seconds(50), 0.4, after);
  CHECK(inMilliseconds(harness.load().service_time) == Approx(inMilliseconds(after)).epsilon(0.4));
}

TEST_CASE("a few very short responses don't count as work") {
  EstimatorHarness harness;
  EstimatorHarness reference;
  for (int second = 0; second < 10; ++second) {
    harness.run(seconds(1), 0.4, milliseconds(60));
    reference.run(seconds(1), 0.4, milliseconds(60));
    for (int i = 0; i < 10; ++i) {
      harness.estimator.onResponse(kService, Duration(i * 100));
    }
  }
  CHECK(inMilliseconds(harness.load().service_time) == Approx(60).epsilon(0.3));
  CHECK(harness.load().service_time == reference.load().service_time);
  CHECK(harness.load().response_time == reference.load().response_time);
}

TEST_CASE("too few responses give no estimate, and services that are not configured are removed") {
  EstimatorHarness harness;
  CHECK(harness.load().requestsPerBusySlot() == 0);
  CHECK(harness.load().in_flight == 0);
  for (int i = 0; i < 5; ++i) {
    harness.estimator.onRequest(kService);
    harness.estimator.onResponse(kService, Duration(-5));
  }
  CHECK(harness.load().requestsPerBusySlot() == 0);
  CHECK(harness.load().requests_per_second > 0);
  harness.estimator.retain(ConfigurationView(Configuration()));
  CHECK(harness.load().requests_per_second == 0);
}

}  // namespace lugfork
