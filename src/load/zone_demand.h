#pragma once

#include <cstddef>
#include <unordered_map>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Settings of ZoneDemand. */
struct ZoneDemandSettings {
  /**
   * Time constant of the recent rate, in which a change is detected. Clients' deadlines are longer,
   * and a balancer with little traffic sees half a dozen requests in it.
   */
  Duration recent_time_constant = milliseconds(500);
  /**
   * Requests that are needed for an estimate. Its error may be one half then, but clients of a zone
   * with half of the required slots must not wait until more is known.
   */
  double min_requests = 5;
  /**
   * Requests over which the demand is smoothed. Its error is then a twentieth, less than two steps
   * of the remote fraction, so that retransmissions of an opening mostly reach the same backend.
   */
  double max_smoothed_requests = 400;
  /** Maximum time constant of the smoothing. At quiet services clients come and go within it. */
  Duration max_smoothing_time_constant = seconds(10);
  /**
   * Number of standard errors above which the recent rate counts as a rise. A false detection,
   * which happens once in 4,000 evaluations, sends clients to other zones for seconds. A threefold
   * rise is detected within half a second at a dozen requests per second.
   */
  double rise_threshold = 3.5;
  /**
   * The same for a fall. A false detection returns clients to the local zone by a step or two, and
   * only for a second.
   */
  double fall_threshold = 2.5;
};

/** Demand of the clients of the local zone for a service. */
struct DemandEstimate {
  /** Slots that they keep busy, in whichever zone they are served; 0 if unknown. */
  double busy_slots = 0;
  /** Response time without queueing; zero if unknown. */
  Duration service_time{};
};

/** Balancers over which the clients of the local zone are distributed. */
struct ZoneBalancers {
  /** Balancers of the local zone; 0 if unknown. */
  std::size_t local_zone = 0;
  /**
   * All known balancers, this one included, and the number of zones over which they are
   * distributed.
   */
  std::size_t total = 1;
  std::size_t zone_count = 1;

  /** @return balancers of the local zone; if unknown, an even fraction of all. */
  double inLocalZone() const;
};

/**
 * Estimates how many slots of a service the clients of the local zone keep busy, in whichever zone
 * they are served: the request rate at this balancer, times the balancers of the zone, times the
 * service time. Requests count and not flows, because open flows continue to send them. Noise is
 * smoothed over a number of requests; a statistically significant change takes effect at once. With
 * too few requests the demand is unknown and no value is guessed.
 */
class ZoneDemand {
 public:
  ZoneDemand(ZoneDemandSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /** Records that the first data of a request was forwarded to a backend of the service. */
  void onRequest(ServiceId service);

  /**
   * Evaluates the requests since the last update; to be called a few times per second.
   * @param service_time response time without queueing; zero if unknown.
   * @return the demand; unknown if there were too few requests or the service time is unknown.
   */
  DemandEstimate update(ServiceId service, Duration service_time, const ZoneBalancers& balancers);

  /** @return the demand as of the last update. */
  DemandEstimate demand(ServiceId service) const;

  /** Removes services that are no longer configured. */
  void retain(const ConfigurationView& configuration);

 private:
  /** Requests within a period; older ones decay. */
  struct Count {
    double requests = 0;
    double seconds = 0;
    double rate() const { return seconds > 0 ? requests / seconds : 0; }
    void decay(double elapsed_s, Duration time_constant);
    /** Sets the number of requests and keeps the rate. */
    void setWeight(double count);
  };

  struct State {
    Count smoothed;
    Count recent;
    /** Requests since the last update. */
    double new_requests = 0;
    MonotonicTime updated_at;
    DemandEstimate estimate;
  };

  void updateRates(State& state, double elapsed_s) const;
  /** Adopts the recent rate if it differs significantly from the smoothed one. */
  void adoptChange(State& state, const Count& new_requests) const;

  const ZoneDemandSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
