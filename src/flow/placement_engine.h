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

/** Why a new flow can't be placed now. */
struct PlacementRefusal {
  Reason reason = Reason::None;
  Duration retry_after{};
  /** No newer view could change the decision, so the flow is rejected at once. */
  bool is_final = false;
};

/** Expected amount of data from the client of a flow. */
enum class FlowVolume { Small, Bulk };

/** Settings of PlacementEngine. */
struct PlacementSettings {
  /** Time for which a candidate list is used before it is rebuilt. */
  Duration candidate_list_ttl = milliseconds(200);
  /** The same for a candidate list that has become empty. */
  Duration empty_candidate_list_ttl = milliseconds(50);
  /** Ratio of requests to slots from which a backend counts as full. */
  double full_load = 8.0;
  /**
   * Minimum fraction of reachable backends. Below it, reports of reachability are ignored; suspect
   * backends are likewise not excluded once their fraction exceeds this value.
   */
  double panic_threshold = 0.5;
  /** Bounds of the retry delay sent to clients when every backend is full. */
  Duration min_retry_after_full = milliseconds(100);
  Duration max_retry_after_full = seconds(5);
  /** Retry delay sent to clients when there is no candidate at all. */
  Duration retry_after = seconds(1);
  OutlierDetectorSettings outliers;
  /** Zone of this balancer; empty for none. */
  std::string local_zone;
  /** Weight of a backend in the local zone, as a multiple of that of backends in other zones. */
  double local_weight = 1;
  /** The same for flows of routes whose clients send large requests. */
  double bulk_local_weight = 1;
};

/** Backend health as detected from traffic, by this balancer or by its peers. */
class BackendHealth {
 public:
  virtual ~BackendHealth() = default;

  /** @return true if the backend is suspected not to answer. */
  virtual bool isSuspect(BackendId backend) const = 0;

  /** @return true if the backend's whole zone is unreachable while other zones are not. */
  virtual bool isInUnreachableZone(BackendId /*backend*/) const { return false; }
};

/**
 * Chooses the backend of a new flow. Candidates are the service's backends in its allowed zones
 * that may receive new flows; the placement policy picks one of them.
 */
class PlacementEngine {
 public:
  PlacementEngine(PlacementSettings settings, PlacementPolicyPtr policy, BackendLoadTable& loads,
                  const TimeSource& time_source, RandomGenerator& random);

  void setConfiguration(ConfigurationViewPtr configuration);

  /** Applies in-place changes of the configuration in force to the candidate lists. */
  void onConfigurationChanged(const ConfigurationChanges& changes);

  /** Discards all candidate lists; the next placement rebuilds the list of its service. */
  void invalidateCandidates() { candidates_.clear(); }

  /**
   * Places a flow and adds it to the backend's load.
   * @param volume amount of data expected from the client.
   * @param excluded backend that has refused this flow or not answered its opening; unset for none.
   * @return the backend, or the reason of the refusal and the retry delay.
   */
  Result<const Backend*, PlacementRefusal> place(const Service& service, const FlowId& flow,
                                                 FlowVolume volume = FlowVolume::Small,
                                                 BackendId excluded = BackendId());

  /**
   * Records data-path evidence against a backend: a reset, or a refusal as overloaded although its
   * report shows free capacity.
   * @param attempt the refused attempt; retransmissions of one attempt count once.
   */
  void onBackendRefusal(const Backend& backend, const FlowKey& attempt, Reason reason);

  /** Sets the source of backend speeds; slow backends get fewer flows. */
  void setSpeed(const BackendSpeed* speed) { speed_ = speed; }

  /** Sets the counter of unanswered requests; load is then estimated from it. */
  void setRequestsInFlight(const RequestsInFlight* in_flight) { in_flight_ = in_flight; }

  /** Sets the limit of new flows to cold backends. */
  void setColdBackendLimit(ColdBackendLimit* limit) { cold_limit_ = limit; }

  /** Sets the source of detected backend health; suspect backends are excluded from placement. */
  void setBackendHealth(const BackendHealth* backend_health) { backend_health_ = backend_health; }

  /** Sets the router that computes the local zone's weight; without it the settings' are used. */
  void setLocality(LocalityRouter* locality) { locality_ = locality; }

  /**
   * Sets the estimator of the local zone's demand for a service, called a few times per second.
   * Without it the demand is unknown.
   */
  void setZoneDemand(std::function<DemandEstimate(ServiceId)> demand) {
    zone_demand_ = std::move(demand);
  }

  /** Records the response time of a backend as seen on the data path. */
  void onResponse(const Backend& backend, Duration duration);

  /** Records evidence that a backend works: a client has acknowledged a piece of its answer. */
  void onBackendProgress(BackendId backend) { outliers_.onSuccess(backend); }

  bool isEjected(BackendId backend) const { return outliers_.isEjected(backend); }

  /** @return number of backends evaluated for candidate lists since the start. */
  std::uint64_t candidatesEvaluated() const { return candidates_evaluated_; }

 private:
  /** Candidates of a service. Those found not selectable are removed until the next rebuild. */
  struct CandidateList {
    std::vector<const Backend*> backends;
    MonotonicTime built_at;
    /** Backends in allowed zones that are not draining, whether selectable or not. */
    std::vector<const Backend*> eligible;
    /** Most backends look unreachable, so the view is doubtful: reachability is ignored. */
    bool ignore_reachability = false;
    /** The same for suspect backends. */
    bool ignore_suspects = false;
  };

  CandidateList& candidatesOf(const Service& service);
  void buildCandidates(const Service& service, CandidateList& list);
  bool isStale(const CandidateList& list) const;
  bool isEligible(const Service& service, const Backend& backend) const {
    return service.allowsZone(backend.zone) && !loads_.isDraining(backend);
  }
  void removeCandidate(const Backend* backend);
  void addCandidate(const Backend* backend);

  /** Passes the capacity of the candidates to the LocalityRouter. */
  void assessLocality(const Service& service, CandidateList& list);
  LocalityCapacity capacityOf(ServiceId service, const CandidateList& list) const;
  double localWeight(ServiceId service, FlowVolume volume) const;
  bool isLocal(const Backend& backend) const { return backend.zone == local_zone_; }
  /** Excludes backends in unreachable zones, unless none would be left. */
  void excludeUnreachableZones(std::vector<const Backend*>& backends) const;
  bool isSuspect(const Backend& backend) const {
    return backend_health_ != nullptr && backend_health_->isSuspect(backend.id);
  }

  /** @return false if the backend is full, ejected, suspect or unreachable, or refused recently. */
  bool isSelectable(const Backend& backend, const CandidateList& list) const;

  /** Chooses from the list; removes candidates not selectable. @return nullptr if none is left. */
  const Backend* choose(CandidateList& list, const FlowId& flow, double local_weight);
  PlacementRefusal refusalFor(const Service& service, const CandidateList& list);

  const PlacementSettings settings_;
  PlacementPolicyPtr policy_;
  BackendLoadTable& loads_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  OutlierDetector outliers_;
  const BackendHealth* backend_health_ = nullptr;
  const BackendSpeed* speed_ = nullptr;
  ColdBackendLimit* cold_limit_ = nullptr;
  const RequestsInFlight* in_flight_ = nullptr;
  LocalityRouter* locality_ = nullptr;
  std::function<DemandEstimate(ServiceId)> zone_demand_;
  ConfigurationViewPtr configuration_;
  std::unordered_map<ServiceId, CandidateList> candidates_;
  std::uint64_t candidates_evaluated_ = 0;
  /** Id of the local zone in the configuration in force, if it is defined there. */
  std::optional<ZoneId> local_zone_;
};

}  // namespace lugfork
