#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"

/** Checks the promises made to users against what clients and backends observe. */
namespace lugfork::soak {

using SoakClock = std::chrono::steady_clock;
using SoakTime = SoakClock::time_point;
using RequestId = std::uint64_t;

/** Time bounds of the promises. */
struct PromiseBounds {
  /** Time after which a draining backend gets no new flows. */
  std::chrono::milliseconds drain{3000};
  /** Time after which a published configuration is in force. */
  std::chrono::milliseconds configuration{3000};
  /** Time bounds are checked only after this long without a disturbance. */
  std::chrono::milliseconds contact{4000};
  /** Time within which a planned stop completes, also with connections still in use. */
  std::chrono::milliseconds grace{6000};
  /** Tolerance added to a bound, since the processes share the CPU with other work. */
  std::chrono::milliseconds slack{1500};
};

enum class Promise {
  AnswerMatchesRequest,
  OnlySentRequestsRun,
  AtMostOnce,
  RequestRunsAtItsService,
  FlowsOfLiveBackendsSurvive,
  DrainingBackendsGetNoNewFlows,
  ConfigurationTakesEffect,
  PlannedStopExitsCleanly,
  PlannedStopEndsInTime,
  AnswersAreComplete,
  ServiceRecovers,
  NewFlowsAvoidUnreachableBackends,
  Last = NewFlowsAvoidUnreachableBackends,
};

/** Stable name of a promise, for reports. */
const char* toString(Promise promise);

/** One violation of a promise. */
struct Violation {
  Promise promise = Promise::AnswerMatchesRequest;
  std::string text;
};

/** Checks the observations of clients and backends and records violations. */
class PromiseMonitor {
 public:
  explicit PromiseMonitor(PromiseBounds bounds) : bounds_(bounds) {}

  /** A client sends a request for the first time; an empty service matches any. */
  void onRequestSent(RequestId request, const std::string& service);

  /** A backend runs a request. */
  void onRun(RequestId request, const std::string& service, const std::string& backend);

  /** A client receives the answer to a request while it waits for that or another one. */
  void onAnswer(RequestId expected, RequestId answered);

  /** A client receives a balancer's reset on an open flow. */
  void onForeignReset(const std::string& flow, const std::string& backend, Endpoint balancer,
                      SoakTime now);

  /** Sets the test whether a balancer and a backend share a zone; without it all do. */
  void setInOneZone(
      std::function<bool(Endpoint balancer, const std::string& backend)> in_one_zone) {
    in_one_zone_ = std::move(in_one_zone);
  }

  /** Until then balancers may be unable to reach backends of other zones, but not local ones. */
  void onZonePartition(SoakTime until);

  /** Number of flows that clients started late in a partition, and of those that were opened. */
  void onFlowsInPartition(std::size_t started, std::size_t opened);

  /** A backend receives the opening of a flow, sent at `sent_at`. */
  void onOpening(const std::string& backend, const std::string& service, Endpoint route,
                 SoakTime sent_at, SoakTime now);

  /** The store has accepted a backend's draining state or the removal of its item. */
  void onDraining(const std::string& backend, SoakTime now);

  /** The store has accepted a configuration in which the route leads to the service. */
  void onRouteMoved(Endpoint route, const std::string& service, SoakTime now);

  /** A process, the store, a link or a backend is disturbed until then. */
  void onDisturbed(SoakTime until);
  void onBackendDisturbed(const std::string& backend, SoakTime until);

  /** A planned stop of a balancer ended with that exit code after that time. */
  void onPlannedStop(const std::string& node, int exit_code, std::chrono::milliseconds took);

  /** Number of complete and of truncated responses on persistent connections. */
  void onConnections(std::size_t answered, std::size_t truncated);

  /** Number of requests sent and of those served in the recovery period after all faults. */
  void onRecoveryPeriod(std::size_t requests_sent, std::size_t served);

  const std::vector<Violation>& violations() const { return violations_; }
  std::size_t checks(Promise promise) const;
  /** @return longest time after its drain at which a backend got an opening, disturbed or not. */
  std::chrono::milliseconds maxOpeningDelayAfterDrain() const { return max_delay_after_drain_; }
  /** @return smallest percentage of new flows that were opened late in a partition. */
  std::size_t minOpenedPercent() const { return min_opened_percent_; }

 private:
  struct SentRequest {
    std::string service;
    int runs = 0;
  };
  struct Moved {
    std::string service;
    SoakTime at;
  };

  bool isUndisturbed(SoakTime since) const { return disturbed_until_ + bounds_.contact < since; }
  void check(Promise promise, bool kept, const std::string& text);

  const PromiseBounds bounds_;
  std::map<RequestId, SentRequest> sent_requests_;
  std::map<std::string, SoakTime> draining_;
  std::map<Endpoint, Moved> routes_;
  std::map<std::string, SoakTime> backends_disturbed_until_;
  std::function<bool(Endpoint, const std::string&)> in_one_zone_;
  SoakTime zone_partition_until_;
  std::size_t min_opened_percent_ = 100;
  SoakTime disturbed_until_;
  std::chrono::milliseconds max_delay_after_drain_{};
  std::map<Promise, std::size_t> checks_;
  std::vector<Violation> violations_;
};

}  // namespace lugfork::soak
