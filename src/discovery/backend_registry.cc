#include "discovery/backend_registry.h"

#include <xxhash.h>

#include <algorithm>

#include "flow/compact_token.h"

namespace lugfork {

namespace {

constexpr std::uint32_t kFirstId = 1;
constexpr double kSecondsInMinute = 60;
/** Servers in a line of a snapshot: about a kilobyte. */
constexpr std::size_t kServersInLine = 40;

const char* nameOf(ServerState state) {
  return state == ServerState::Ready ? "ready" : "draining";
}

/** @return the id of a name; names get ids in the order in which they are first met. */
template <typename Id>
Id internedId(std::map<std::string, Id>& ids, const std::string& name) {
  using Value = decltype(Id().value());
  const auto next = static_cast<Value>(ids.size() + kFirstId);
  return ids.try_emplace(name, Id(next)).first->second;
}

}  // namespace

BackendRegistry::BackendRegistry(Duration retired_for, const TimeSource& time_source, EventLog& log)
    : retired_for_(retired_for), time_source_(time_source), log_(log) {}

void BackendRegistry::onServer(const std::string& key, const ServerRecord& record,
                               Revision revision, Revision created) {
  Server& server = servers_[key];
  const bool state_changed = server.revision == 0 || server.retired ||
                             server.record.state != record.state ||
                             server.record.address != record.address;
  server.record = record;
  server.id = backendIdOfIncarnation(record.incarnation);
  server.revision = revision;
  server.created = created;
  server.cold_until = time_source_.monotonicTime() + milliseconds(record.warmup_left_ms);
  server.retired = false;
  server.missing_since = 0;
  retireMissingAt(record.address);
  if (state_changed && logs_servers_) {
    log_.write(LogLevel::Info, "discovery", "backend_state",
               {{"backend", record.name},
                {"backend_id", server.id.value()},
                {"service", record.service},
                {"address", toString(record.address)},
                {"backend_zone", record.zone},
                {"state", nameOf(record.state)},
                {"revision", revision}});
  }
}

void BackendRegistry::onServerGone(const std::string& key, Revision revision) {
  const auto found = servers_.find(key);
  if (found == servers_.end() || found->second.retired) {
    return;
  }
  retire(found->second, revision);
}

void BackendRegistry::onServerMissing(const std::string& key, Revision revision) {
  const auto found = servers_.find(key);
  if (found == servers_.end() || found->second.retired) {
    return;
  }
  Server& server = found->second;
  server.missing_since = revision;
  log_.write(LogLevel::Info, "discovery", "backend_missing",
             {{"backend", server.record.name},
              {"backend_id", server.id.value()},
              {"state", nameOf(server.record.state)},
              {"revision", revision}});
}

bool BackendRegistry::retireMissing() {
  bool changed = false;
  for (auto& [key, server] : servers_) {
    if (server.missing_since != 0) {
      retire(server, server.missing_since);
      changed = true;
    }
  }
  return changed;
}

void BackendRegistry::retireMissingAt(Endpoint address) {
  for (auto& [key, server] : servers_) {
    if (server.missing_since != 0 && server.record.address == address) {
      retire(server, server.missing_since);
    }
  }
}

void BackendRegistry::retire(Server& server, Revision revision) {
  server.retired = true;
  server.retired_at = time_source_.monotonicTime();
  server.missing_since = 0;
  log_.write(LogLevel::Info, "discovery", "backend_state",
             {{"backend", server.record.name},
              {"backend_id", server.id.value()},
              {"service", server.record.service},
              {"address", toString(server.record.address)},
              {"state", "retired"},
              {"state_before", nameOf(server.record.state)},
              {"revision", revision}});
}

void BackendRegistry::onRoutes(const RouteTable& table, Revision revision) {
  if (has_routes_ && table.version < routes_.version) {
    return;
  }
  log_.write(LogLevel::Info, "discovery", "routes_in_force",
             {{"version", table.version},
              {"version_before", routes_.version},
              {"routes", static_cast<std::uint64_t>(table.routes.size())},
              {"revision", revision}});
  routes_ = table;
  has_routes_ = true;
}

void BackendRegistry::onZoneOutOfService(const std::string& key, const ZoneOutOfService& record,
                                         Revision revision) {
  if (zones_out_of_service_.insert_or_assign(key, record.zone).second) {
    log_.write(LogLevel::Info, "discovery", "zone_out_of_service",
               {{"out_of_service", record.zone}, {"revision", revision}});
  }
}

bool BackendRegistry::onZoneBackInService(const std::string& key, Revision revision) {
  const auto found = zones_out_of_service_.extract(key);
  if (found.empty()) {
    return false;
  }
  log_.write(LogLevel::Info, "discovery", "zone_back_in_service",
             {{"back_in_service", found.mapped()}, {"revision", revision}});
  return true;
}

bool BackendRegistry::isOutOfService(const std::string& zone) const {
  return std::any_of(zones_out_of_service_.begin(), zones_out_of_service_.end(),
                     [&](const auto& entry) { return entry.second == zone; });
}

BackendRegistry::Summary BackendRegistry::summary() const {
  Summary summary;
  for (const auto& [key, server] : servers_) {
    if (server.retired) {
      ++summary.retired;
    } else if (server.record.state == ServerState::Draining) {
      ++summary.draining;
    } else {
      ++summary.ready;
    }
    summary.digest ^= XXH3_64bits_withSeed(key.data(), key.size(), server.revision);
  }
  return summary;
}

std::vector<std::string> BackendRegistry::snapshotLines() const {
  std::vector<std::string> lines;
  std::size_t count = 0;
  for (const auto& [key, server] : servers_) {
    if (count++ % kServersInLine == 0) {
      lines.emplace_back();
    } else {
      lines.back() += ' ';
    }
    lines.back() += server.record.name + "=" + nameOf(server.record.state);
  }
  return lines;
}

bool BackendRegistry::forgetRetired() {
  const MonotonicTime now = time_source_.monotonicTime();
  const auto is_over = [&](const auto& entry) {
    return entry.second.retired && now - entry.second.retired_at > retired_for_;
  };
  return std::erase_if(servers_, is_over) > 0;
}

ConfigurationViewPtr BackendRegistry::makeConfiguration() {
  Configuration configuration;
  configuration.version = ConfigVersion(++builds_);
  for (const auto& [id, server] : findOwners()) {
    configuration.backends.push_back(makeBackend(*server));
  }
  for (const RouteRecord& record : routes_.routes) {
    configuration.routes.push_back(makeRoute(record));
  }
  // A service's allowed zones stand above every fallback of placement: one that is out of service
  // gets nothing new even where all other servers are silent or full.
  std::vector<ZoneId> zones_in_service;
  for (const auto& [name, id] : zone_ids_) {
    configuration.zones.push_back({id, name, ""});
    if (!isOutOfService(name)) {
      zones_in_service.push_back(id);
    }
  }
  for (const auto& [name, id] : service_ids_) {
    configuration.services.push_back({id, name, Endpoint(), zones_in_service});
  }
  return std::make_shared<ConfigurationView>(std::move(configuration));
}

BackendRegistry::OwnersById BackendRegistry::findOwners() {
  OwnersById owners;
  owners.reserve(servers_.size());
  for (const auto& [key, server] : servers_) {
    const auto [entry, is_first] = owners.try_emplace(server.id, &server);
    if (is_first) {
      continue;
    }
    const Server* other = entry->second;
    const bool is_older = server.created < other->created;
    entry->second = is_older ? &server : other;
    reportClash(is_older ? *other : server, *entry->second);
  }
  return owners;
}

void BackendRegistry::reportClash(const Server& left_out, const Server& owner) {
  if (reported_clashes_.insert(left_out.record.incarnation).second) {
    log_.write(LogLevel::Warn, "discovery", "backend_id_clash",
               {{"backend", left_out.record.name},
                {"owner", owner.record.name},
                {"outcome", "gets no flows"}});
  }
}

ServiceId BackendRegistry::serviceIdOf(const std::string& name) {
  return internedId(service_ids_, name);
}

ZoneId BackendRegistry::zoneIdOf(const std::string& name) {
  return internedId(zone_ids_, name);
}

Backend BackendRegistry::makeBackend(const Server& server) {
  const ServerRecord& record = server.record;
  Backend backend;
  backend.id = server.id;
  backend.name = record.name;
  backend.service = serviceIdOf(record.service);
  backend.zone = zoneIdOf(record.zone);
  backend.address = record.address;
  backend.slots = std::max(record.slots, 1U);
  backend.connections = 1;
  backend.draining = record.state == ServerState::Draining;
  backend.retired = server.retired;
  backend.incarnation = record.incarnation;
  if (record.warmup_left_ms > 0) {
    backend.cold_until = server.cold_until;
    backend.cold_flows_per_second = coldFlowsPerSecond(record.service);
  }
  return backend;
}

double BackendRegistry::coldFlowsPerSecond(const std::string& service) const {
  const auto found =
      std::find_if(routes_.warmups.begin(), routes_.warmups.end(),
                   [&](const ServiceWarmup& warmup) { return warmup.service == service; });
  return found == routes_.warmups.end() ? 0 : found->flows_per_minute / kSecondsInMinute;
}

Route BackendRegistry::makeRoute(const RouteRecord& record) {
  Route route;
  route.address = record.address;
  route.bulk = record.bulk;
  for (const RouteShare& share : record.shares) {
    route.targets.push_back({serviceIdOf(share.service), share.weight});
  }
  return route;
}

}  // namespace lugfork
