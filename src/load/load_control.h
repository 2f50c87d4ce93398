#pragma once

#include <array>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/event_log.h"
#include "load/admission_controller.h"

/**
 * Load and admission, as the data path talks to them.
 *
 * What is seen. A balancer sees packets of callers only: that a request goes to a server, and that
 * the caller acknowledges the beginning of its answer. From these follow, for each service, the
 * rate of requests, the time of an answer now, and the time of an answer where nothing waits
 * (ServiceLoadEstimator). Answers far too short for work are servers' own rejections.
 *
 * What is shared. Nothing passes between balancers for this. Each sees a random part of the callers
 * of its zone, and so much the same; the number of balancers and the slots of servers come from the
 * configuration and the membership. A balancer that sees too little admits everything.
 *
 * Who is placed. Every 100 ms each service's pressure is found (PressurePolicy): requests for each
 * busy slot over their limit, or the own part of the work over the own part of the slots. While it
 * is below 1, or unknown, all flows pass. Above it the rate of flows that may pass falls, quickly
 * where the queues are full and slowly near the limit; it rises again below the limit, and is
 * released once slots are free.
 *
 * Who is rejected. Demand counts by class, callers' retries included. What exceeds the rate is
 * rejected from the least urgent class upwards; of the class at the boundary a part, drawn by the
 * flow's hash. The most urgent class loses at most what its own demand exceeds the slots by. Only
 * the first copy of an opening is asked about, so a rejection never meets a flow that a server has
 * taken; the caller is told at once and may come back under another flow, which is drawn anew.
 */
namespace lugfork {

/** Tunables of a LoadControl. */
struct LoadControlSettings {
  /** "off", "in_flight", "response_time" or "share": how pressure is found; "off" still counts. */
  std::string mode = "off";
  ServiceLoadSettings estimator = {};
  PressureSettings pressure = {};
  AdmissionSettings admission = {};
  /** Time for which an answer told at once keeps those told later from counting: a weak balancer
   * gets several in it. */
  Duration prompt_response_ttl = seconds(5);
  /** Least time between two log lines of a service, so that an overload doesn't fill the log. */
  Duration min_log_interval = seconds(1);
  /** Change of the level that is worth a line; less is the noise of arrivals. */
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

  /** @return true for a mode that a LoadControl knows. */
  static bool isMode(std::string_view mode);

  bool admits(const Service& service, const RequestClass& request_class,
              const FlowId& flow) override;

  /** A request's first data went to a server of the service. */
  void onRequest(ServiceId service) { estimator_.onRequest(service); }

  /**
   * A caller has received the beginning of an answer, that long after it began to ask.
   * @param is_prompt whether the caller told it at once: where some do, only those count, since the
   * others' delay would look like a queue.
   * @param is_elsewhere whether the server stands beyond the own zone.
   */
  void onResponse(ServiceId service, Duration duration, bool is_prompt = true,
                  bool is_remote = false);

  /**
   * Moves the levels; to be called each 100 ms.
   * @param balancers that callers reach, this one included.
   */
  void tick(const ConfigurationView& configuration, std::size_t balancers);

  ServiceLoad load(ServiceId service) const { return estimator_.load(service); }

  /** @return classes that are rejected, the least urgent first; a fraction is a part of a class. */
  double level(ServiceId service) const { return controller_.level(service); }

  /** @return the counters of a service, by priority; all zero for an unknown one. */
  CountersByPriority counters(ServiceId service) const;

 private:
  struct ServiceEntry {
    CountersByPriority counters{};
    /** Last answer that was told at once; unset for none. */
    MonotonicTime last_prompt_at;
    double logged_level = 0;
    MonotonicTime logged_at;
    /** Sums as of the last line. */
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
