#pragma once

#include <array>
#include <string>
#include <unordered_map>

#include "load/admission_control.h"
#include "load/policy/pressure_policy.h"

namespace lugfork {

/** Settings of AdmissionController. */
struct AdmissionSettings {
  /**
   * Relative change of the rate limit per unit of excess pressure within one response time. Small,
   * because a few percent more load makes a queue several times longer.
   */
  double gain = 0.1;
  /** Additional gain for excess pressure above 0.5, where the backends' queues are full. */
  double gain_when_full = 1;
  /** Immediate reduction of the rate per unit of excess pressure; damps the slower control loop. */
  double damping = 0.15;
  /** Upper bound of the excess pressure that is used for a step. */
  double max_excess = 2;
  /** Time constant of the demand of each class. The demand includes clients' retries. */
  Duration demand_time_constant = milliseconds(600);
  /**
   * Lower bound of the response time by which steps are scaled: the smoothing time constant of the
   * load estimator.
   */
  Duration min_response_time = milliseconds(500);
  /**
   * Time constant of the growth of the rate limit while the pressure is unknown or slots are free.
   */
  Duration release_time_constant = milliseconds(700);
  /** Lower bound of the rate limit, relative to this balancer's share of the slots. */
  double min_rate_ratio = 0.7;
  /**
   * Upper bound of the rate limit while the pressure is above 1, relative to this balancer's share
   * of the slots. Clients are rarely distributed over balancers more unevenly, and full queues
   * would hide a larger excess.
   */
  double max_rate_ratio = 1.5;
  /** Zone of this balancer; empty if there are no zones. */
  std::string local_zone = {};
  /**
   * Time constant of the response times of other zones' backends. Long, because few flows leave the
   * local zone.
   */
  Duration remote_time_constant = seconds(2);
  /**
   * Responses from other zones, weighted by age, that are needed to estimate their response time.
   */
  double min_remote_responses = 3;
};

/** Number of distinct priorities; a less urgent class is treated like the last one. */
inline constexpr std::size_t kPriorityCount = 16;

/**
 * Maintains a level for each service, from 0 to the number of classes with demand. The least urgent
 * class has rank 0; of a class of rank r the fraction clamp(level - r, 0, 1) of the flows is
 * rejected. The flow's hash selects the flows, so that balancers with the same level decide alike.
 */
class AdmissionController : public AdmissionControl {
 public:
  /** @param policy computes the pressure; nullptr admits everything. */
  AdmissionController(const AdmissionSettings& settings, const ServiceLoadEstimator& loads,
                      std::unique_ptr<PressurePolicy> policy, const TimeSource& time_source);

  bool admits(const Service& service, const RequestClass& request_class,
              const FlowId& flow) override;

  /** Records the response time of a backend in another zone. */
  void onRemoteResponse(ServiceId service, Duration duration);

  /**
   * Updates the levels; to be called every 100 ms.
   * @param balancers number of balancers that clients reach.
   */
  void tick(const ConfigurationView& configuration, std::size_t balancers);

  /** @return the level; 0 for a service without demand. */
  double level(ServiceId service) const;

  /** @return the load relative to its limit, as of the last tick; 0 if unknown. */
  double pressure(ServiceId service) const;

 private:
  /** Offered flows by priority [flows/s]. */
  using Demand = std::array<double, kPriorityCount>;

  struct State {
    /** Flows since the last tick, and the smoothed rate. */
    Demand arrivals{};
    Demand demand{};
    /** The same for admitted flows. */
    double admitted_count = 0;
    double admitted_per_second = 0;
    std::array<Duration, kPriorityCount> targets{};
    /** Limit of the rate of admitted flows [flows/s]; negative for none. */
    double rate_limit = -1;
    double level = 0;
    double pressure = 0;
    /** Slots of all backends that accept new flows, and when they were counted. */
    double usable_slots = 0;
    MonotonicTime slots_counted_at;
    bool has_remote_backends = false;
    /** Number of responses from other zones and the sum of their times [s]; both decay. */
    double remote_response_count = 0;
    double remote_response_sum_s = 0;
    MonotonicTime remote_updated_at;
    MonotonicTime last_tick_at;
    bool is_initialized = false;
  };

  double remoteDecay(const State& state, MonotonicTime now) const;
  /** @return mean response time in other zones; zero if there are too few responses. */
  Duration remoteResponseTime(const State& state, MonotonicTime now) const;
  void updateDemand(State& state, MonotonicTime now, double elapsed_s) const;
  void updateRateLimit(State& state, const ServiceLoad& load, double elapsed_s) const;
  /**
   * @return the rate of flows of the most urgent class that must not be rejected [flows/s]: the
   * rate that fills the slots or, if that is higher, the rate of requests on other flows plus a
   * fraction of the urgent flows admitted now. Open flows of other classes cannot be rejected here;
   * their requests decrease only when backends reject them.
   */
  static double guaranteedUrgentRate(const State& state, const PressureInput& input);
  /** @return request rate that fills this balancer's share of the slots [1/s]; 0 if unknown. */
  static double requestCapacity(const PressureInput& input);
  /** @return flow rate that fills this balancer's share of the slots [flows/s]; 0 if unknown. */
  static double flowCapacity(const State& state, const PressureInput& input);
  /**
   * @param guaranteed_rate rate of flows of the most urgent class that is never rejected [flows/s].
   */
  static double levelFor(const Demand& demand, double rate_limit, double guaranteed_rate);

  const AdmissionSettings settings_;
  const ServiceLoadEstimator& loads_;
  const std::unique_ptr<PressurePolicy> policy_;
  const TimeSource& time_source_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
