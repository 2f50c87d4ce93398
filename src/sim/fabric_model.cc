#include "sim/fabric_model.h"

namespace lugfork {

void FabricModel::observe(MonotonicTime now, std::vector<Endpoint> healthy) {
  snapshots_.push_back({now, std::move(healthy)});
  while (snapshots_.size() > 1 && now - snapshots_[1].at >= health_lag_) {
    snapshots_.pop_front();
  }
}

Endpoint FabricModel::choose() {
  if (snapshots_.empty() || snapshots_.front().healthy.empty()) {
    return {};
  }
  const std::vector<Endpoint>& healthy = snapshots_.front().healthy;
  return healthy[random_.below(healthy.size())];
}

}  // namespace lugfork
