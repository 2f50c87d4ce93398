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
  double largest_excess = 2;
  /** Time over which the demand of classes is learned: callers' retries are part of it. */
  Duration demand_memory = milliseconds(600);
  /** Shortest time over which the admitted rate changes: that of the estimator's smoothing. */
  Duration response = milliseconds(500);
  /** Time in which the admitted rate grows e times where nothing is known or slots are free. */
  Duration release = milliseconds(700);
  /** Least part of this balancer's part of the slots that stays admitted. */
  double least_share = 0.7;
  /**
   * Most of it that is admitted from the moment at which the pressure is too high: callers are
   * seldom spread over balancers more unevenly, and full queues would hide a larger excess.
   */
  double largest_share = 1.5;
  /** Zone of this balancer; empty where there are none. */
  std::string own_zone = {};
  /** Time for which answers of other zones' servers count: few flows leave the own zone. */
  Duration elsewhere_memory = seconds(2);
  /** Answers within it from which other zones are taken for as full as the own one. */
  double answers_elsewhere_needed = 3;
};

/** Priorities that are told apart; callers of less urgent ones are treated like the last. */
inline constexpr std::size_t kPriorities = 16;

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
  void onResponseElsewhere(ServiceId service, Duration duration);

  /** Moves the levels; to be called each 100 ms. @param balancers that callers reach. */
  void tick(const ConfigurationView& configuration, std::size_t balancers);

  /** @return the level; 0 for a service that nobody asks for. */
  double level(ServiceId service) const;

  /** @return load over its limit as of the last tick; 0 where unknown. */
  double pressure(ServiceId service) const;

 private:
  /** Flows a second that ask, by priority. */
  using Demand = std::array<double, kPriorities>;

  struct State {
    /** Flows since the last tick, and the rate that follows from them. */
    Demand arrived{};
    Demand demand{};
    /** The same of those that were admitted. */
    double admitted = 0;
    double admitted_demand = 0;
    std::array<Duration, kPriorities> targets{};
    /** Flows a second that may pass; negative for all. */
    double admitted_rate = -1;
    double level = 0;
    double pressure = 0;
    /** Slots of all servers that may get new flows, and when they were counted. */
    double usable_slots = 0;
    MonotonicTime slots_at;
    bool has_servers_elsewhere = false;
    /** Answers of other zones' servers and the sum of their times [s], which fade. */
    double answers_elsewhere = 0;
    double answers_elsewhere_s = 0;
    MonotonicTime elsewhere_at;
    MonotonicTime ticked_at;
    bool is_learned = false;
  };

  double keptElsewhere(const State& state, MonotonicTime now) const;
  /** @return mean time of these answers; zero where too few were seen. */
  Duration responseElsewhere(const State& state, MonotonicTime now) const;
  void learnDemand(State& state, MonotonicTime now, double elapsed_s) const;
  void moveRate(State& state, const ServiceLoad& load, double elapsed_s) const;
  /**
   * @return flows a second of the most urgent class that may not be rejected: those that fill the
   * slots, and in any case those in whose place open flows of other classes bring requests. Such
   * flows can't be rejected; their requests leave when servers turn them away.
   */
  static double urgentRate(const State& state, const PressureInput& input);
  /** @return requests a second that fill this balancer's part of the slots; 0 where unknown. */
  static double requestsOfOwnSlots(const PressureInput& input);
  /** @return flows a second that fill this balancer's part of the slots; 0 where unknown. */
  static double ownSlotsRate(const State& state, const PressureInput& input);
  /** @param urgent_rate flows a second of the most urgent class that are never rejected. */
  static double levelFor(const Demand& demand, double admitted_rate, double urgent_rate);

  const AdmissionSettings settings_;
  const ServiceLoadEstimator& loads_;
  const std::unique_ptr<PressurePolicy> policy_;
  const TimeSource& time_source_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
