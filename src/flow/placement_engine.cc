#include "flow/placement_engine.h"

#include <algorithm>

namespace lugfork {

namespace {

class LoadedCandidates : public CandidateSet {
 public:
  LoadedCandidates(const std::vector<const Backend*>& backends, const BackendLoadTable& loads)
      : backends_(backends), loads_(loads) {}

  std::size_t size() const override { return backends_.size(); }
  const Backend& backend(std::size_t index) const override { return *backends_[index]; }
  double estimatedLoad(std::size_t index) const override {
    return loads_.estimatedLoad(*backends_[index]);
  }
  double reportedLoad(std::size_t index) const override {
    return loads_.reportedLoad(*backends_[index]);
  }

 private:
  const std::vector<const Backend*>& backends_;
  const BackendLoadTable& loads_;
};

}  // namespace

PlacementEngine::PlacementEngine(PlacementSettings settings, PlacementPolicyPtr policy,
                                 BackendLoadTable& loads, const TimeSource& time_source,
                                 RandomGenerator& random)
    : settings_(settings),
      policy_(std::move(policy)),
      loads_(loads),
      time_source_(time_source),
      random_(random) {}

void PlacementEngine::setConfiguration(ConfigurationViewPtr configuration) {
  candidates_.clear();
  configuration_ = std::move(configuration);
}

Result<const Backend*, PlacementRefusal> PlacementEngine::place(const Service& service,
                                                                const FlowId& flow,
                                                                BackendId excluded) {
  const std::vector<const Backend*>* backends = &candidatesOf(service).backends;
  std::vector<const Backend*> without_excluded;
  if (excluded != BackendId()) {
    std::copy_if(backends->begin(), backends->end(), std::back_inserter(without_excluded),
                 [&](const Backend* backend) { return backend->id != excluded; });
    backends = &without_excluded;
  }
  if (backends->empty()) {
    return PlacementRefusal{Reason::NoBackendInAllowedZones, settings_.retry_after};
  }
  const LoadedCandidates candidates(*backends, loads_);
  const Backend& chosen = candidates.backend(policy_->choose(candidates, flow, random_));
  loads_.onPlaced(chosen.id);
  return &chosen;
}

const PlacementEngine::CandidateList& PlacementEngine::candidatesOf(const Service& service) {
  const MonotonicTime now = time_source_.monotonicTime();
  CandidateList& list = candidates_[service.id];
  const bool never_made = list.made_at == MonotonicTime();
  if (never_made || now - list.made_at > settings_.candidate_list_lifetime) {
    list.backends = eligibleBackends(service);
    list.made_at = now;
  }
  return list;
}

std::vector<const Backend*> PlacementEngine::eligibleBackends(const Service& service) const {
  std::vector<const Backend*> eligible;
  for (const Backend* backend : configuration_->backendsOf(service.id)) {
    if (service.allowsZone(backend->zone) && loads_.mayPlace(*backend)) {
      eligible.push_back(backend);
    }
  }
  return eligible;
}

}  // namespace lugfork
