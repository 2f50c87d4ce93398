#include "runtime/resource_views.h"

#include <algorithm>
#include <array>

namespace lugfork {

namespace {

using nlohmann::json;

constexpr const char* kPlaceable = "placeable";
/** Maximum number of peers listed as behind in one response. */
constexpr std::size_t kMaxListedBehind = 10;

json toJson(const BackendReport& report) {
  return {{"reachable", report.reachable},
          {"draining", report.draining},
          {"open_connections", report.open_connections},
          {"busy_slots", report.busy_slots},
          {"queued_requests", report.queued_requests},
          {"measured_at_ms", report.measured_at_ms}};
}

json zoneNames(const ConfigurationView& view, const std::vector<ZoneId>& zones) {
  json names = json::array();
  for (const ZoneId zone : zones) {
    names.push_back(view.zone(zone)->name);
  }
  return names;
}

std::string degradedReason(const ClusterStatus& cluster) {
  if (cluster.join == JoinState::Degraded) {
    return "joined_without_enough_answers";
  }
  return cluster.degraded() ? "view_unconfirmed" : "view_confirmed";
}

}  // namespace

void ResourceViews::observeAll() {
  if (node_.configuration().inForce() == nullptr) {
    return;
  }
  for (const char* name : {"zones", "services", "backends", "nodes"}) {
    static_cast<void>(collection(name));
  }
}

bool ResourceViews::isCollection(const std::string& name) {
  static const std::array<std::string, 4> kNames = {"zones", "services", "backends", "nodes"};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

json ResourceViews::collection(const std::string& name) {
  if (name == "nodes") {
    return nodes();
  }
  json items = json::array();
  if (name == "zones") {
    for (const Zone& entry : document().zones) {
      items.push_back(zone(entry));
    }
  } else if (name == "services") {
    for (const Service& entry : document().services) {
      items.push_back(service(entry));
    }
  } else {
    for (const Backend& entry : document().backends) {
      items.push_back(backend(entry));
    }
  }
  return items;
}

json ResourceViews::propagationStatus() const {
  std::size_t current = 0;
  json behind = json::array();
  for (const Machine& machine : machines_) {
    const PeerStatus* status = peers_.find(machine.name);
    if (machine.name == node_.settings().name) {
      continue;
    }
    if (status != nullptr && status->version >= node_.configuration().version()) {
      ++current;
    } else if (behind.size() < kMaxListedBehind) {
      behind.push_back(machine.name);
    }
  }
  return {{"version", version()},
          {"peers_in_force", current},
          {"peers_behind_or_unknown", machines_.empty() ? 0 : machines_.size() - 1 - current},
          {"behind", behind}};
}

json ResourceViews::zone(const Zone& zone) {
  const std::string key = "zones/" + zone.name;
  return {{"metadata", {{"kind", "Zone"}, {"name", zone.name}, {"id", zone.id.value()}}},
          {"spec", {{"region", zone.region}, {"version", version()}}},
          {"status",
           {{"in_force", propagationStatus()},
            {"conditions", json::array({condition(key, "InForce", true, "adopted")})}}}};
}

json ResourceViews::service(const Service& service) {
  const std::string key = "services/" + service.name;
  const ConfigurationView& view = *node_.configuration().inForce();
  const std::size_t placeable = placeableBackends(service);
  return {
      {"metadata", {{"kind", "Service"}, {"name", service.name}, {"id", service.id.value()}}},
      {"spec",
       {{"address", toString(service.address)},
        {"allowed_zones", zoneNames(view, service.allowed_zones)},
        {"version", version()}}},
      {"status",
       {{"in_force", propagationStatus()},
        {"backends", view.backendsOf(service.id).size()},
        {"backends_placeable", placeable},
        {"conditions", json::array({condition(key, "InForce", true, "adopted"),
                                    condition(key, "Placeable", placeable > 0,
                                              placeable > 0 ? "backends_available"
                                                            : "no_backend_in_allowed_zones")})}}}};
}

json ResourceViews::backend(const Backend& backend) {
  const std::string key = "backends/" + backend.name;
  const ConfigurationView& view = *node_.configuration().inForce();
  const BackendReport* report = node_.loads().lastReport(backend.id);
  const std::string state = placementState(backend);
  return {{"metadata", {{"kind", "Backend"}, {"name", backend.name}, {"id", backend.id.value()}}},
          {"spec",
           {{"service", view.service(backend.service)->name},
            {"zone", view.zone(backend.zone)->name},
            {"address", toString(backend.address)},
            {"probe_address", toString(backend.probe_address)},
            {"slots", backend.slots},
            {"connections", backend.connections},
            {"draining", backend.draining},
            {"version", version()}}},
          {"status",
           {{"in_force", propagationStatus()},
            {"report", report == nullptr ? json() : toJson(*report)},
            {"conditions",
             json::array({condition(key, "InForce", true, "adopted"),
                          condition(key, "TakesNewFlows", state == kPlaceable, state)})}}}};
}

json ResourceViews::nodes() {
  json items = json::array();
  items.push_back(self());
  for (const Machine& machine : machines_) {
    if (machine.name != node_.settings().name) {
      items.push_back(peer(machine));
    }
  }
  return items;
}

json ResourceViews::self() {
  const NodeSettings& settings = node_.settings();
  const std::string key = "nodes/" + settings.name;
  const ClusterStatus cluster = node_.clusterStatus();
  const Reason blocked_by = node_.placementBlockedBy();
  const bool current = node_.configuration().inForce() != nullptr;
  return {
      {"metadata", {{"kind", "Node"}, {"name", settings.name}}},
      {"spec", {{"zone", settings.zone}, {"peer_address", toString(settings.peer_address)}}},
      {"status",
       {{"self", true},
        {"state", node_.isLeaving() ? "leaving" : "alive"},
        {"version_in_force", version()},
        {"conditions",
         json::array({condition(key, "InForce", current, current ? "adopted" : "no_configuration"),
                      condition(key, "PlacesNewFlows", blocked_by == Reason::None,
                                blocked_by == Reason::None ? "ready" : toString(blocked_by)),
                      condition(key, "Degraded", cluster.degraded(), degradedReason(cluster))})}}}};
}

json ResourceViews::peer(const Machine& machine) {
  const std::string key = "nodes/" + machine.name;
  const MemberRecord* member = node_.membership().member(machine.name);
  const PeerStatus* status = peers_.find(machine.name);
  const bool current = status != nullptr && status->version >= node_.configuration().version();
  json view = {{"self", false}, {"state", member == nullptr ? "unknown" : toString(member->state)}};
  view["listed_as"] = machine.leaving ? "leaving" : "live";
  view["version_in_force"] = status == nullptr ? json() : json(status->version.value());
  view["heard_at_ms"] = status == nullptr ? json() : json(toUnixMilliseconds(status->received_at));
  const std::string reason = status == nullptr ? "never_heard" : current ? "reported" : "behind";
  view["conditions"] = json::array({condition(key, "InForce", current, reason)});
  return {{"metadata", {{"kind", "Node"}, {"name", machine.name}}},
          {"spec",
           {{"zone", machine.zone},
            {"data_address", toString(machine.data_address)},
            {"peer_address", toString(machine.peer_address)},
            {"api_address", toString(machine.api_address)}}},
          {"status", view}};
}

json ResourceViews::condition(const std::string& resource, const std::string& type, bool holds,
                              const std::string& reason) {
  const Condition observed = conditions_.observe(resource, type, holds, reason);
  return {{"type", observed.type},
          {"status", observed.holds},
          {"reason", observed.reason},
          {"since_ms", toUnixMilliseconds(observed.since)}};
}

std::string ResourceViews::placementState(const Backend& backend) const {
  const BackendReport* report = node_.loads().lastReport(backend.id);
  if (backend.draining) {
    return "declared_draining";
  }
  if (node_.loads().mayPlace(backend)) {
    return report == nullptr ? "not_probed" : kPlaceable;
  }
  if (report != nullptr && !report->reachable) {
    return "unreachable";
  }
  return report != nullptr && report->draining ? "announced_draining" : "refused_new_work";
}

std::size_t ResourceViews::placeableBackends(const Service& service) const {
  const ConfigurationView& view = *node_.configuration().inForce();
  const auto& backends = view.backendsOf(service.id);
  return static_cast<std::size_t>(
      std::count_if(backends.begin(), backends.end(), [&](const Backend* backend) {
        return service.allowsZone(backend->zone) && placementState(*backend) == kPlaceable;
      }));
}

}  // namespace lugfork
