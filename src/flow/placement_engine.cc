#include "flow/placement_engine.h"

#include <algorithm>
#include <utility>

namespace lugfork {

namespace {

class LoadAwareCandidates : public CandidateSet {
 public:
  LoadAwareCandidates(const std::vector<const Backend*>& backends, const BackendLoadTable& loads,
                      const BackendSpeed* speed, const RequestsInFlight* in_flight,
                      std::optional<ZoneId> local_zone, double local_weight, MonotonicTime now)
      : backends_(backends),
        loads_(loads),
        speed_(speed),
        in_flight_(in_flight),
        local_zone_(local_zone),
        local_weight_(local_weight),
        now_(now) {}

  std::size_t size() const override { return backends_.size(); }
  const Backend& backend(std::size_t index) const override { return *backends_[index]; }
  double estimatedLoad(std::size_t index) const override {
    const Backend& backend = *backends_[index];
    if (in_flight_ == nullptr) {
      return loads_.estimatedLoad(backend);
    }
    return static_cast<double>(in_flight_->count(backend.id, now_)) / backend.slots;
  }
  double reportedLoad(std::size_t index) const override {
    return loads_.reportedLoad(*backends_[index]);
  }
  double weight(std::size_t index) const override {
    const Backend& backend = *backends_[index];
    const double speed_fraction = speed_ == nullptr ? 1 : speed_->flowFractionOf(backend.id);
    return speed_fraction * backend.slots * (backend.zone == local_zone_ ? local_weight_ : 1);
  }

 private:
  const std::vector<const Backend*>& backends_;
  const BackendLoadTable& loads_;
  const BackendSpeed* speed_;
  const RequestsInFlight* in_flight_;
  const std::optional<ZoneId> local_zone_;
  const double local_weight_;
  const MonotonicTime now_;
};

/**
 * Maximum number of changes applied to the lists one by one; above it the lists are rebuilt. The
 * search for one backend costs about 1/50 of a rebuild (control_work_bench, 3,000 backends).
 */
constexpr std::size_t kMaxIncrementalChanges = 50;

/** Erases an element by moving the last one to its place. */
void eraseUnordered(std::vector<const Backend*>& backends, const Backend* backend) {
  const auto found = std::find(backends.begin(), backends.end(), backend);
  if (found != backends.end()) {
    *found = backends.back();
    backends.pop_back();
  }
}

}  // namespace

PlacementEngine::PlacementEngine(PlacementSettings settings, PlacementPolicyPtr policy,
                                 BackendLoadTable& loads, const TimeSource& time_source,
                                 RandomGenerator& random)
    : settings_(std::move(settings)),
      policy_(std::move(policy)),
      loads_(loads),
      time_source_(time_source),
      random_(random),
      outliers_(settings_.outliers, time_source, random) {}

void PlacementEngine::setConfiguration(ConfigurationViewPtr configuration) {
  candidates_.clear();
  configuration_ = std::move(configuration);
  const Zone* local_zone = configuration_->zoneNamed(settings_.local_zone);
  local_zone_ = local_zone == nullptr ? std::nullopt : std::optional<ZoneId>(local_zone->id);
}

void PlacementEngine::onConfigurationChanged(const ConfigurationChanges& changes) {
  if (changes.services) {
    setConfiguration(configuration_);
    return;
  }
  if (changes.backends.size() + changes.removed.size() > kMaxIncrementalChanges) {
    invalidateCandidates();
    return;
  }
  for (const auto& backend : changes.removed) {
    removeCandidate(backend.get());
  }
  for (const Backend* backend : changes.backends) {
    removeCandidate(backend);
    addCandidate(backend);
  }
}

void PlacementEngine::removeCandidate(const Backend* backend) {
  for (auto& [service, list] : candidates_) {
    eraseUnordered(list.eligible, backend);
    eraseUnordered(list.backends, backend);
  }
}

void PlacementEngine::addCandidate(const Backend* backend) {
  const auto found = candidates_.find(backend->service);
  const Service* service = configuration_->service(backend->service);
  if (found == candidates_.end() || service == nullptr || backend->retired ||
      !isEligible(*service, *backend)) {
    return;
  }
  const bool is_in_unreachable_zone =
      backend_health_ != nullptr && backend_health_->isInUnreachableZone(backend->id);
  if (is_in_unreachable_zone && !found->second.eligible.empty()) {
    return;
  }
  ++candidates_evaluated_;
  found->second.eligible.push_back(backend);
  found->second.backends.push_back(backend);
}

Result<const Backend*, PlacementRefusal> PlacementEngine::place(const Service& service,
                                                                const FlowId& flow,
                                                                FlowVolume volume,
                                                                BackendId excluded) {
  CandidateList& list = candidatesOf(service);
  const double local_weight = localWeight(service.id, volume);
  const Backend* chosen = choose(list, flow, local_weight);
  if (chosen != nullptr && chosen->id == excluded) {
    std::vector<const Backend*>& backends = list.backends;
    std::iter_swap(std::find(backends.begin(), backends.end(), chosen), backends.end() - 1);
    backends.pop_back();
    const Backend* excluded_backend = chosen;
    chosen = choose(list, flow, local_weight);
    backends.push_back(excluded_backend);
  }
  if (chosen == nullptr) {
    return refusalFor(service, list);
  }
  loads_.onPlaced(*chosen);
  if (cold_limit_ != nullptr) {
    cold_limit_->onPlaced(*chosen);
  }
  if (locality_ != nullptr) {
    locality_->onPlaced(service.id, isLocal(*chosen));
  }
  return chosen;
}

void PlacementEngine::onBackendRefusal(const Backend& backend, const FlowKey& attempt,
                                       Reason reason) {
  const bool contradicts_report = reason == Reason::Overloaded && loads_.hasFreeSlot(backend);
  const bool lost_state = reason == Reason::BackendGone || reason == Reason::WrongBackend;
  const Service* service = configuration_->service(backend.service);
  if (service == nullptr || !(contradicts_report || lost_state)) {
    return;
  }
  outliers_.onFailure(backend, attempt, candidatesOf(*service).eligible.size());
}

void PlacementEngine::onResponse(const Backend& backend, Duration duration) {
  if (locality_ != nullptr) {
    locality_->onResponse(backend.service, isLocal(backend), duration);
  }
}

double PlacementEngine::localWeight(ServiceId service, FlowVolume volume) const {
  const bool bulk = volume == FlowVolume::Bulk;
  if (locality_ != nullptr) {
    return locality_->weight(service, bulk);
  }
  return bulk ? settings_.bulk_local_weight : settings_.local_weight;
}

const Backend* PlacementEngine::choose(CandidateList& list, const FlowId& flow,
                                       double local_weight) {
  std::vector<const Backend*>& backends = list.backends;
  const MonotonicTime now = time_source_.monotonicTime();
  while (!backends.empty()) {
    const LoadAwareCandidates candidates(backends, loads_, speed_, in_flight_, local_zone_,
                                         local_weight, now);
    const std::size_t index = policy_->choose(candidates, flow, random_);
    const Backend* chosen = backends[index];
    if (isSelectable(*chosen, list)) {
      return chosen;
    }
    backends[index] = backends.back();
    backends.pop_back();
  }
  return nullptr;
}

bool PlacementEngine::isSelectable(const Backend& backend, const CandidateList& list) const {
  return loads_.acceptsNewWork(backend) && !outliers_.isEjected(backend.id) &&
         (list.ignore_reachability || loads_.looksReachable(backend)) &&
         (list.ignore_suspects || !isSuspect(backend)) &&
         (cold_limit_ == nullptr || cold_limit_->admits(backend)) &&
         !loads_.isFull(backend, settings_.full_load);
}

PlacementRefusal PlacementEngine::refusalFor(const Service& service, const CandidateList& list) {
  if (list.eligible.empty()) {
    return {Reason::NoBackendInAllowedZones, settings_.retry_after};
  }
  // About half of the present requests end within the residence time. The random factor keeps
  // clients from retrying at the same time.
  const double spread = 0.5 + random_.unit();
  const double wait = static_cast<double>(loads_.residence(service.id).count()) * spread;
  return {Reason::Overloaded,
          std::clamp(Duration(static_cast<std::int64_t>(wait)), settings_.min_retry_after_full,
                     settings_.max_retry_after_full)};
}

PlacementEngine::CandidateList& PlacementEngine::candidatesOf(const Service& service) {
  CandidateList& list = candidates_[service.id];
  if (isStale(list)) {
    buildCandidates(service, list);
  }
  return list;
}

bool PlacementEngine::isStale(const CandidateList& list) const {
  const bool never_built = list.built_at == MonotonicTime();
  const Duration lifetime =
      list.backends.empty() ? settings_.empty_candidate_list_ttl : settings_.candidate_list_ttl;
  return never_built || time_source_.monotonicTime() - list.built_at > lifetime;
}

void PlacementEngine::excludeUnreachableZones(std::vector<const Backend*>& backends) const {
  if (backend_health_ == nullptr) {
    return;
  }
  const auto is_reachable = [this](const Backend* backend) {
    return !backend_health_->isInUnreachableZone(backend->id);
  };
  if (std::any_of(backends.begin(), backends.end(), is_reachable)) {
    std::erase_if(backends, [&](const Backend* backend) { return !is_reachable(backend); });
  }
}

void PlacementEngine::buildCandidates(const Service& service, CandidateList& list) {
  list.built_at = time_source_.monotonicTime();
  list.backends.clear();
  std::size_t reachable = 0;
  std::size_t suspects = 0;
  for (const Backend* backend : configuration_->backendsOf(service.id)) {
    ++candidates_evaluated_;
    if (!isEligible(service, *backend)) {
      continue;
    }
    list.backends.push_back(backend);
  }
  excludeUnreachableZones(list.backends);
  for (const Backend* backend : list.backends) {
    reachable += loads_.looksReachable(*backend) ? 1 : 0;
    suspects += isSuspect(*backend) ? 1 : 0;
  }
  // Without any report so far, requests in flight are used instead of the load estimate.
  if (in_flight_ == nullptr || loads_.hasReports()) {
    loads_.refreshService(service.id, list.backends);
  }
  list.ignore_reachability = static_cast<double>(reachable) <
                             settings_.panic_threshold * static_cast<double>(list.backends.size());
  list.ignore_suspects = static_cast<double>(suspects) >
                         settings_.panic_threshold * static_cast<double>(list.backends.size());
  list.eligible = list.backends;
  if (locality_ != nullptr) {
    assessLocality(service, list);
  }
}

void PlacementEngine::assessLocality(const Service& service, CandidateList& list) {
  const LocalityCapacity capacity = capacityOf(service.id, list);
  locality_->assess(service, capacity);
  if (locality_->localZoneSuffices(capacity)) {
    // In a partitioned zone most backends are suspect; the local ones must serve its clients.
    list.ignore_suspects = false;
  }
}

LocalityCapacity PlacementEngine::capacityOf(ServiceId service, const CandidateList& list) const {
  const MonotonicTime now = time_source_.monotonicTime();
  LocalityCapacity capacity;
  capacity.zone_count = configuration_->document().zones.size();
  for (const Backend* backend : list.backends) {
    const bool is_usable =
        !isSuspect(*backend) && loads_.looksReachable(*backend) && now >= backend->cold_until;
    const double speed_fraction = speed_ == nullptr ? 1 : speed_->flowFractionOf(backend->id);
    const double available_slots = is_usable ? speed_fraction * backend->slots : 0;
    capacity.total_slots += backend->slots;
    capacity.total_usable_slots += available_slots;
    if (isLocal(*backend)) {
      capacity.local_slots += backend->slots;
      capacity.local_usable_slots += available_slots;
    }
  }
  capacity.demand = zone_demand_ ? zone_demand_(service) : DemandEstimate();
  return capacity;
}

}  // namespace lugfork
