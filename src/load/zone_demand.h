#pragma once

#include <cstddef>
#include <unordered_map>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"
#include "load/service_load.h"

namespace lugfork {

/** Tunables of a ZoneDemand. */
struct ZoneDemandSettings {
  /** Time over which the rates that it is given are smoothed (ServiceLoadSettings::smoothing). */
  Duration rate_smoothing = milliseconds(500);
  /** Requests after which a demand is told: it may err by half then, yet callers of a zone with
   * half of the slots that they need must not wait until more is known. */
  double requests_needed = 5;
  /** Requests over which it is smoothed: it then errs by a twentieth, less than two steps of the
   * callers' share, so that copies of an opening mostly find the same server. */
  double requests_smoothed = 400;
  /** Longest time over which it is smoothed: callers of a quiet service come and go meanwhile. */
  Duration longest_smoothing = seconds(10);
  /** Standard errors of a rate from which it shows a change of callers rather than chance: one
   * comparison in 400 errs, and three times the callers show in half a second to a dozen requests a
   * second. */
  double change_errors = 3;
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
  std::size_t own_zone = 0;
  /** All that are known, this one included, and the zones they are spread over. */
  std::size_t all = 1;
  std::size_t zones = 1;

  /** @return those of the own zone; where not told, an even part of all. */
  double inOwnZone() const;
};

/**
 * Estimates how many slots of a service the callers of the own zone keep busy, wherever they are
 * served: the requests that came to this balancer, times the balancers of the zone, times the
 * service time. Requests count, not flows, since open flows go on bringing them. Chance is smoothed
 * over a number of requests; what is more than chance counts at once. What is
 * told is the estimate less half its standard error; below a few requests it is not known.
 */
class ZoneDemand {
 public:
  ZoneDemand(ZoneDemandSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /**
   * Takes what this balancer has seen of a service; to be called a few times a second.
   * @param load its rate must not be biased where the first request came only just now.
   * @return the demand; not known where too few requests were seen or the service time isn't known.
   */
  DemandEstimate update(ServiceId service, const ServiceLoad& load, const ZoneBalancers& balancers);

  /** @return the demand as of the last update. */
  DemandEstimate demand(ServiceId service) const;

  /** Forgets services that are not known any more. */
  void retain(const ConfigurationView& configuration);

 private:
  struct State {
    /** Smoothed requests of this balancer a second. */
    double rate = 0;
    /** The rate that was given last. */
    double seen_rate = 0;
    /** Requests that the estimate rests on, bounded by requests_smoothed. */
    double requests = 0;
    MonotonicTime first_at;
    MonotonicTime updated_at;
    DemandEstimate told;
  };

  /** Takes a rate that was seen until now. */
  void follow(State& state, double rate, MonotonicTime now) const;

  const ZoneDemandSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<ServiceId, State> states_;
};

}  // namespace lugfork
