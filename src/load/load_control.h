#pragma once

#include <array>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/event_log.h"
#include "load/admission_controller.h"

/**
 * Load estimation and admission control, as used by the data path.
 *
 * Measurement. A balancer only sees packets from clients: a request is forwarded to a backend, and
 * the client acknowledges the first data of the response. From these events ServiceLoadEstimator
 * derives, for each service, the request rate, the current response time and the response time
 * without queueing. Responses that are much too short for the work are taken to be rejections by
 * backends.
 *
 * Coordination. Balancers exchange no messages for admission control. Each one sees a random sample
 * of the clients of its zone, so their estimates agree approximately. The number of balancers comes
 * from the membership, the backends' slots come from the configuration. A balancer with too few
 * samples admits everything.
 *
 * Limit. Every 100 ms PressurePolicy computes the pressure of each service: requests per busy slot
 * relative to their limit, or this balancer's share of the work relative to its share of the slots.
 * While the pressure is below 1 or unknown, all flows are admitted. Above 1 the rate limit falls,
 * quickly while queues are full and slowly near the limit. Below 1 the limit rises again; it is
 * released once slots are free.
 *
 * Rejection. Demand is counted by class and includes clients' retries. Flows in excess of the limit
 * are rejected, least urgent class first; of the class at the boundary a fraction, selected by the
 * flow's hash. The most urgent class loses at most the amount by which its own demand exceeds the
 * slots. Only the first transmission of an opening is subject to admission, so a flow that a
 * backend has accepted is never rejected. The client is notified at once and may retry with another
 * flow, for which the decision is independent.
 */
namespace lugfork {

/** Settings of LoadControl. */
struct LoadControlSettings {
  /** Pressure policy: "off", "in_flight", "response_time" or "share". "off" still counts flows. */
  std::string mode = "off";
  ServiceLoadSettings estimator = {};
  PressureSettings pressure = {};
  AdmissionSettings admission = {};
  /**
   * Time for which a promptly acknowledged response suppresses those that are acknowledged late. A
   * balancer with little traffic receives several prompt ones within this time.
   */
  Duration prompt_response_ttl = seconds(5);
  /**
   * Minimum interval between two log lines of a service, so that an overload does not flood the
   * log.
   */
  Duration min_log_interval = seconds(1);
  /** Minimum change of the level that is logged; smaller changes are noise of the arrivals. */
  double min_logged_change = 0.1;
};

/** New flows of one priority since the start of the process. */
struct AdmissionCounters {
  std::uint64_t offered = 0;
  std::uint64_t admitted = 0;
  std::uint64_t rejected = 0;
};

class LoadControl : public AdmissionControl {
 public:
  using CountersByPriority = std::array<AdmissionCounters, kPriorityCount>;

  LoadControl(const LoadControlSettings& settings, const TimeSource& time_source, EventLog& log);

  /** @return true if the mode is known. */
  static bool isMode(std::string_view mode);

  bool admits(const Service& service, const RequestClass& request_class,
              const FlowId& flow) override;

  /** Records that the first data of a request was forwarded to a backend of the service. */
  void onRequest(ServiceId service) { estimator_.onRequest(service); }

  /**
   * Records that a client has acknowledged the first data of a response.
   * @param duration time since the start of the request.
   * @param is_prompt whether the client acknowledged at once. If some clients do, only their
   * responses count, since the delay of the others would look like queueing.
   * @param is_remote whether the backend is in another zone.
   */
  void onResponse(ServiceId service, Duration duration, bool is_prompt = true,
                  bool is_remote = false);

  /**
   * Updates the levels; to be called every 100 ms.
   * @param balancers number of balancers that clients reach, this one included.
   */
  void tick(const ConfigurationView& configuration, std::size_t balancers);

  ServiceLoad load(ServiceId service) const { return estimator_.load(service); }

  /**
   * @return number of rejected classes, least urgent first; the fractional part is the rejected
   * fraction of the next class.
   */
  double level(ServiceId service) const { return controller_.level(service); }

  /** @return the counters of a service by priority; all zero for an unknown service. */
  CountersByPriority counters(ServiceId service) const;

 private:
  struct ServiceEntry {
    CountersByPriority counters{};
    /** Last promptly acknowledged response; unset for none. */
    MonotonicTime last_prompt_at;
    double logged_level = 0;
    MonotonicTime logged_at;
    /** Totals as of the last log line. */
    AdmissionCounters logged_counters;
  };

  void logChange(const Service& service, ServiceEntry& entry);

  const LoadControlSettings settings_;
  const TimeSource& time_source_;
  EventLog& log_;
  ServiceLoadEstimator estimator_;
  AdmissionController controller_;
  std::unordered_map<ServiceId, ServiceEntry> entries_;
};

}  // namespace lugfork
