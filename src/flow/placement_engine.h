#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "common/result.h"
#include "config/live_configuration.h"
#include "flow/backend_load_table.h"
#include "flow/cold_backend_limit.h"
#include "flow/locality_router.h"
#include "flow/outlier_detector.h"
#include "flow/policy/placement_policy.h"
#include "flow/requests_in_flight.h"
#include "flow/response_times.h"
#include "wire/datagram.h"

namespace lugfork {

/** A new flow can't be placed now. */
struct PlacementRefusal {
  Reason reason = Reason::None;
  Duration retry_after{};
  /** Nothing that this node doesn't know yet could change it: the caller is told at once. */
  bool is_final = false;
};

/** How much the caller of a flow is going to send. */
enum class FlowVolume { Small, Bulk };

/** Tunables of the placement of new flows. */
struct PlacementSettings {
  /** Longest time for which a list of candidates is used before it is made again. */
  Duration candidate_list_lifetime = milliseconds(200);
  /** The same for a list that has become empty. */
  Duration empty_list_lifetime = milliseconds(50);
  /** Requests over slots from which a back end counts as full. */
  double full_load = 8.0;
  /** Smallest share of reachable back ends with which reports of reachability are believed. */
  double panic_threshold = 0.5;
  /** Bounds of the time that callers are told to wait when every back end is full. */
  Duration retry_after_full_min = milliseconds(100);
  Duration retry_after_full_max = seconds(5);
  /** Time that callers are told to wait when there is no candidate at all. */
  Duration retry_after = seconds(1);
  OutlierDetectorSettings outliers;
  /** Zone of this balancer; empty for none. */
  std::string local_zone;
  /** Weight of a back end in the local zone, as a multiple of that of others. */
  double local_weight = 1;
  /** The same for flows of routes whose callers send large requests. */
  double bulk_local_weight = 1;
};

/** What else a node has learnt of back ends. */
class BackendSuspicion {
 public:
  virtual ~BackendSuspicion() = default;

  /** @return true where the back end does not seem to answer now. */
  virtual bool isSuspect(BackendId backend) const = 0;

  /** @return true where its whole zone can't be reached from here, while others can. */
  virtual bool isOutOfReach(BackendId /*backend*/) const { return false; }
};

/**
 * Chooses the back end of a new flow: candidates are the service's back ends in its allowed zones
 * that may get new work; the policy picks one of them.
 */
class PlacementEngine {
 public:
  PlacementEngine(PlacementSettings settings, PlacementPolicyPtr policy, BackendLoadTable& loads,
                  const TimeSource& time_source, RandomGenerator& random);

  void setConfiguration(ConfigurationViewPtr configuration);

  /** The configuration in force has changed in place: lists of candidates take over the changes. */
  void onConfigurationChanged(const ConfigurationChanges& changes);

  /** Makes the next placement look at every back end's state again. */
  void invalidateCandidates() { candidates_.clear(); }

  /**
   * Places a flow and counts it to the back end's load.
   * @param volume how much the caller is going to send.
   * @param excluded back end that just refused this flow; unset for none.
   * @return the back end, or why there is none and when to come back.
   */
  Result<const Backend*, PlacementRefusal> place(const Service& service, const FlowId& flow,
                                                 FlowVolume volume = FlowVolume::Small,
                                                 BackendId excluded = BackendId());

  /**
   * Takes data-path evidence against a back end: a reset, or a refusal as overloaded although its
   * report shows room.
   * @param attempt what was refused; copies of one attempt count once.
   */
  void onBackendRefusal(const Backend& backend, const FlowKey& attempt, Reason reason);

  /** Sets what tells of back ends that answer slowly; they get fewer flows. */
  void setSpeed(const BackendSpeed* speed) { speed_ = speed; }

  /** Sets what counts unanswered requests; load is then estimated by them. */
  void setRequestsInFlight(const RequestsInFlight* in_flight) { in_flight_ = in_flight; }

  /** Sets what bounds the flows of servers that are warming up. */
  void setColdServerLimit(ColdBackendLimit* limit) { cold_limit_ = limit; }

  /** Sets what tells of back ends that do not answer; they are passed over. */
  void setSuspicion(const BackendSuspicion* suspicion) { suspicion_ = suspicion; }

  /** Sets what finds the own zone's weight; without it, it is the settings' constant. */
  void setLocality(LocalityRouter* locality) { locality_ = locality; }

  /**
   * Sets what estimates what the callers of the local zone ask of a service; it is asked a few
   * times a second. Without it that is not known.
   */
  void setZoneDemand(std::function<DemandEstimate(ServiceId)> demand) {
    zone_demand_ = std::move(demand);
  }

  /** Takes data-path evidence of how long a back end took to answer. */
  void onResponse(const Backend& backend, Duration duration);

  /** Takes data-path evidence that a back end works: a caller confirmed a piece of its answer. */
  void onBackendProgress(BackendId backend) { outliers_.onSuccess(backend); }

  bool isEjected(BackendId backend) const { return outliers_.isEjected(backend); }

  /** @return the back ends that were looked at to make lists of candidates, for all time. */
  std::uint64_t candidatesMade() const { return candidates_made_; }

 private:
  /** Back ends that may be chosen; those found not to fit are taken out until it is made again. */
  struct CandidateList {
    std::vector<const Backend*> backends;
    MonotonicTime made_at;
    /** Back ends in allowed zones that are not leaving, whether they fit or not. */
    std::vector<const Backend*> eligible;
    /** Most back ends look unreachable, so the view is suspect: reachability is not looked at. */
    bool ignore_reachability = false;
    /** The same for back ends that do not seem to answer. */
    bool ignore_suspicion = false;
  };

  CandidateList& candidatesOf(const Service& service);
  void makeCandidates(const Service& service, CandidateList& list);
  bool isStale(const CandidateList& list) const;
  bool isEligible(const Service& service, const Backend& backend) const {
    return service.allowsZone(backend.zone) && !loads_.isDraining(backend);
  }
  void takeOut(const Backend* backend);
  void takeIn(const Backend* backend);

  /** Tells the LocalityRouter what the candidates can take. */
  void assessLocality(const Service& service, CandidateList& list);
  LocalityCapacity capacityOf(ServiceId service, const CandidateList& list) const;
  double localWeight(ServiceId service, FlowVolume volume) const;
  bool isLocal(const Backend& backend) const { return backend.zone == local_zone_; }
  /** Leaves out back ends in zones that can't be reached, unless none would be left. */
  void leaveOutOfReach(std::vector<const Backend*>& backends) const;
  bool isSuspect(const Backend& backend) const {
    return suspicion_ != nullptr && suspicion_->isSuspect(backend.id);
  }

  /** @return false where the back end is full, refused lately, is ejected or looks unreachable. */
  bool fits(const Backend& backend, const CandidateList& list) const;

  /** Chooses from the list and takes out what does not fit. @return nullptr if nothing is left. */
  const Backend* choose(CandidateList& list, const FlowId& flow, double local_weight);
  PlacementRefusal refusalFor(const Service& service, const CandidateList& list);

  const PlacementSettings settings_;
  PlacementPolicyPtr policy_;
  BackendLoadTable& loads_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  OutlierDetector outliers_;
  const BackendSuspicion* suspicion_ = nullptr;
  const BackendSpeed* speed_ = nullptr;
  ColdBackendLimit* cold_limit_ = nullptr;
  const RequestsInFlight* in_flight_ = nullptr;
  LocalityRouter* locality_ = nullptr;
  std::function<DemandEstimate(ServiceId)> zone_demand_;
  ConfigurationViewPtr configuration_;
  std::unordered_map<ServiceId, CandidateList> candidates_;
  std::uint64_t candidates_made_ = 0;
  /** Id of the local zone in the configuration in force. */
  std::optional<ZoneId> local_zone_;
};

}  // namespace lugfork
