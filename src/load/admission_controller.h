#pragma once

#include <array>
#include <string>
#include <unordered_map>

#include "load/admission_control.h"
#include "load/policy/pressure_policy.h"

namespace lugfork {

/** Tunables of an AdmissionController. */
struct AdmissionSettings {
  /**
   * Change of the admitted rate for each unit of excess pressure within one response time. Small,
   * since a queue answers to a few percent of load with several times its length.
   */
  double gain = 0.1;
  /** The same for pressure beyond half too much: servers' queues are full then. */
  double gain_when_full = 1;
  /** Change at once for each unit of excess pressure, which damps the slow one. */
  double damping = 0.15;
  /** Pressure that counts at most: twice too much calls for the largest step. */
  double max_excess = 2;
  /** Time over which the demand of classes is learned: callers' retries are part of it. */
  Duration demand_time_constant = milliseconds(600);
  /** Shortest time over which the admitted rate changes: that of the estimator's smoothing. */
  Duration min_response_time = milliseconds(500);
  /** Time in which the admitted rate grows e times where nothing is known or slots are free. */
  Duration release_time_constant = milliseconds(700);
  /** Least part of this balancer's part of the slots that stays admitted. */
  double min_rate_ratio = 0.7;
  /**
   * Most of it that is admitted from the moment at which the pressure is too high: callers are
   * seldom spread over balancers more unevenly, and full queues would hide a larger excess.
   */
  double max_rate_ratio = 1.5;
  /** Zone of this balancer; empty where there are none. */
  std::string local_zone = {};
  /** Time for which answers of other zones' servers count: few flows leave the own zone. */
  Duration remote_time_constant = seconds(2);
  /** Answers within it from which other zones are taken for as full as the own one. */
  double min_remote_responses = 3;
};

/** Priorities that are told apart; callers of less urgent ones are treated like the last. */
inline constexpr std::size_t kPriorityCount = 16;

/**
 * Keeps for each service a level from 0 to the number of classes that ask for it. The least urgent
 * class has rank 0; a class of rank r is rejected in the part clamp(level - r, 0, 1) of its flows,
 * drawn by the flow's hash, so that balancers with the same level give the same verdict.
 */
class AdmissionController : public AdmissionControl {
 public:
  /** @param policy finds the pressure; nullptr admits everything. */
  AdmissionController(const AdmissionSettings& settings, const ServiceLoadEstimator& loads,
                      std::unique_ptr<PressurePolicy> policy, const TimeSource& time_source);

  bool admits(const Service& service, const RequestClass& request_class,
              const FlowId& flow) override;

  /** A server beyond the own zone has answered a request, that long after it began. */
  void onRemoteResponse(ServiceId service, Duration duration);

  /** Moves the levels; to be called each 100 ms. @param balancers that callers reach. */
  void tick(const ConfigurationView& configuration, std::size_t balancers);

  /** @return the level; 0 for a service that nobody asks for. */
  double level(ServiceId service) const;

  /** @return load over its limit as of the last tick; 0 where unknown. */
  double pressure(ServiceId service) const;

 private:
  /** Flows a second that ask, by priority. */
  using Demand = std::array<double, kPriorityCount>;

  struct State {
    /** Flows since the last tick, and the rate that follows from them. */
    Demand arrivals{};
    Demand demand{};
    /** The same of those that were admitted. */
    double admitted_count = 0;
    double admitted_per_second = 0;
    std::array<Duration, kPriorityCount> targets{};
    /** Flows a second that may pass; negative for all. */
    double rate_limit = -1;
    double level = 0;
    double pressure = 0;
    /** Slots of all servers that may get new flows, and when they were counted. */
    double usable_slots = 0;
    MonotonicTime slots_counted_at;
    bool has_remote_backends = false;
    /** Answers of other zones' servers and the sum of their times [s], which fade. */
    double remote_response_count = 0;
    double remote_response_sum_s = 0;
    MonotonicTime remote_updated_at;
    MonotonicTime last_tick_at;
    bool is_initialized = false;
  };

  double remoteDecay(const State& state, MonotonicTime now) const;
  /** @return mean time of these answers; zero where too few were seen. */
  Duration remoteResponseTime(const State& state, MonotonicTime now) const;
  void updateDemand(State& state, MonotonicTime now, double elapsed_s) const;
  void updateRateLimit(State& state, const ServiceLoad& load, double elapsed_s) const;
  /**
   * @return flows a second of the most urgent class that may not be rejected: those that fill the
   * slots, and in any case those in whose place open flows of other classes bring requests. Such
   * flows can't be rejected; their requests leave when servers turn them away.
   */
  static double guaranteedUrgentRate(const State& state, const PressureInput& input);
  /** @return requests a second that fill this balancer's part of the slots; 0 where unknown. */
  static double requestCapacity(const PressureInput& input);
  /** @return flows a second that fill this balancer's part of the slots; 0 where unknown. */
  static double flowCapacity(const State& state, const PressureInput& input);
  /** @param urgent_rate flows a second of the most urgent class that are never rejected. */
  static double levelFor(const Demand& demand, double rate_limit, double guaranteed_rate);

  const AdmissionSettings settings_;
  const ServiceLoadEstimator& loads_;
  const std::unique_ptr<PressurePolicy> policy_;
  const TimeSource& time_source_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
