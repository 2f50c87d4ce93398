#pragma once

#include <cstddef>
#include <unordered_map>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Tunables of a ZoneDemand. */
struct ZoneDemandSettings {
  /** Time over which the last requests are watched for a change: callers' targets have not passed
   * after it, and a weak balancer sees half a dozen requests. */
  Duration recent_time_constant = milliseconds(500);
  /** Requests after which a demand is told: it may err by half then, yet callers of a zone with
   * half of the slots that they need must not wait until more is known. */
  double min_requests = 5;
  /** Requests over which it is smoothed: it then errs by a twentieth, less than two steps of the
   * callers' share, so that copies of an opening mostly find the same server. */
  double max_smoothed_requests = 400;
  /** Longest time over which it is smoothed: callers of a quiet service come and go meanwhile. */
  Duration max_smoothing_time_constant = seconds(10);
  /** Standard errors from which the recent requests show more callers rather than chance: one of
   * 4,000 moments errs, for each sends callers beyond for seconds; three times the callers show in
   * half a second to a dozen requests a second. */
  double rise_threshold = 3.5;
  /** The same for fewer callers: an error brings callers back by a step or two, and only for a
   * second. */
  double fall_threshold = 2.5;
};

/** What the callers of the own zone ask of a service. */
struct DemandEstimate {
  /** Slots that they keep busy, wherever they are served; 0 where it is not known. */
  double busy_slots = 0;
  /** Time of an answer where nothing waits; zero where that is not known. */
  Duration service_time{};
};

/** Balancers that the callers of the own zone are spread over. */
struct ZoneBalancers {
  /** Those of the own zone; 0 where it is not told which they are. */
  std::size_t local_zone = 0;
  /** All that are known, this one included, and the zones they are spread over. */
  std::size_t total = 1;
  std::size_t zone_count = 1;

  /** @return those of the own zone; where not told, an even part of all. */
  double inLocalZone() const;
};

/**
 * Estimates how many slots of a service the callers of the own zone keep busy, wherever they are
 * served: the requests that came to this balancer, times the balancers of the zone, times the
 * service time. Requests count, not flows, since open flows go on bringing them. Chance is smoothed
 * over a number of requests; what is more than chance counts at once. Below a
 * few requests the demand is not known, rather than guessed.
 */
class ZoneDemand {
 public:
  ZoneDemand(ZoneDemandSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /** A request's first data went to a server of the service. */
  void onRequest(ServiceId service);

  /**
   * Counts what came since the last update; to be called a few times a second.
   * @param service_time time of an answer where nothing waits; zero where that is not known.
   * @return the demand; unknown where few requests were seen or the service time is not known.
   */
  DemandEstimate update(ServiceId service, Duration service_time, const ZoneBalancers& balancers);

  /** @return the demand as of the last update. */
  DemandEstimate demand(ServiceId service) const;

  /** Forgets services that are not known any more. */
  void retain(const ConfigurationView& configuration);

 private:
  /** Requests within a time, of which the old ones fade. */
  struct Count {
    double requests = 0;
    double seconds = 0;
    double rate() const { return seconds > 0 ? requests / seconds : 0; }
    void decay(double elapsed_s, Duration time_constant);
    /** Keeps the rate, and lets it weigh as so many requests. */
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
  /** Takes the recent rate where it differs from the smoothed one by more than chance. */
  void adoptChange(State& state, const Count& new_requests) const;

  const ZoneDemandSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
